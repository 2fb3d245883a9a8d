/* jsontext - the entry point of all JSON that this program reads.  See
 * jsontext.h. */
#include "jsontext.h"

#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define HEX_DIGITS 4 /* of a \u escape */
/* Bytes outside of strings, numbers and words: white space and structure. */
#define PLAIN_BYTES " \t\r\n{}[],:"
#define INT64_MIN_DIGITS (UINT64_C(1) << 63) /* -INT64_MIN */

/* Returns the code unit of a \u escape at text.p[i], or -1. */
static int
escaped_unit(Str text, size_t i)
{
    int unit = 0;

    if (i + 2 + HEX_DIGITS > text.n || text.p[i] != '\\' ||
        text.p[i + 1] != 'u') {
        return -1;
    }
    for (int k = 0; k < HEX_DIGITS; k++) {
        int digit = g_ascii_xdigit_value(text.p[i + 2 + (size_t)k]);
        if (digit < 0) {
            return -1;
        }
        unit = unit * 16 + digit;
    }
    return unit;
}

/* Returns the length of the escape at text.p[i], or 0 if it is malformed.
 * json-glib skips the byte behind an incomplete \u escape, which may be the
 * quote that ends the string. */
static size_t
escape_length(Str text, size_t i)
{
    int unit = escaped_unit(text, i);

    if (unit >= 0xd800 && unit <= 0xdbff) {
        int low = escaped_unit(text, i + 2 + HEX_DIGITS);
        return low >= 0xdc00 && low <= 0xdfff ? 2 * (2 + HEX_DIGITS) : 0;
    }
    if (unit == 0) {
        return 0; /* json-glib would cut the string there */
    }
    if (unit > 0) {
        return unit >= 0xdc00 && unit <= 0xdfff ? 0 : 2 + HEX_DIGITS;
    }
    return i + 1 < text.n && text.p[i + 1] != '\0' &&
                   strchr("\"\\/bfnrt", text.p[i + 1]) != NULL
               ? 2
               : 0;
}

/* Returns the index behind the string that starts at text.p[i], or 0 if it is
 * malformed. */
static size_t
skip_string(Str text, size_t i)
{
    i++;
    while (i < text.n && text.p[i] != '"') {
        size_t n = text.p[i] == '\\' ? escape_length(text, i) : 1;
        if (n == 0) {
            return 0;
        }
        i += n;
    }
    return i < text.n ? i + 1 : 0;
}

static bool
in_word(char c)
{
    return g_ascii_isalnum(c) || c == '+' || c == '-' || c == '.';
}

static size_t
count_digits(Str text, size_t i)
{
    size_t n = 0;

    while (i + n < text.n && g_ascii_isdigit(text.p[i + n])) {
        n++;
    }
    return n;
}

/* Checks a number.  json-glib also reads octal, hexadecimal and binary ones,
 * and replaces what does not fit 64 bits by other numbers. */
static bool
is_number(Str w)
{
    size_t sign = w.p[0] == '-' ? 1 : 0;
    size_t digits = count_digits(w, sign);
    size_t i = sign + digits;
    uint64_t v;

    if (digits == 0 || (digits > 1 && w.p[sign] == '0')) {
        return false;
    }
    if (i == w.n) {
        return str_u64((Str){w.p + sign, digits},
                       sign == 1 ? INT64_MIN_DIGITS : UINT64_MAX, &v);
    }
    if (w.p[i] == '.') {
        size_t fraction = count_digits(w, i + 1);
        i += fraction == 0 ? 0 : 1 + fraction;
    }
    if (i < w.n && (w.p[i] == 'e' || w.p[i] == 'E')) {
        i += i + 1 < w.n && (w.p[i + 1] == '+' || w.p[i + 1] == '-') ? 2 : 1;
        size_t exponent = count_digits(w, i);
        return exponent > 0 && i + exponent == w.n;
    }
    return i == w.n;
}

/* Returns the index behind the number or word that starts at text.p[i], or 0
 * if it is a malformed number. */
static size_t
skip_word(Str text, size_t i)
{
    size_t end = i;

    while (end < text.n && in_word(text.p[end])) {
        end++;
    }
    if (g_ascii_isalpha(text.p[i]) || is_number((Str){text.p + i, end - i})) {
        return end;
    }
    return 0;
}

/* Returns the index behind the string, the number, the word or the byte at
 * text.p[i], or 0 if it is malformed. */
static size_t
skip_token(Str text, size_t i)
{
    char c = text.p[i];

    if (c == '"') {
        return skip_string(text, i);
    }
    if (in_word(c)) {
        return skip_word(text, i);
    }
    return c != '\0' && strchr(PLAIN_BYTES, c) != NULL ? i + 1 : 0;
}

bool
jsontext_check(Str text, Err *e)
{
    size_t mark = strlen(BYTE_ORDER_MARK);
    size_t i = str_starts(text, str_of(BYTE_ORDER_MARK)) ? mark : 0;
    int depth = 0;
    bool ended = false;

    while (i < text.n) {
        char c = text.p[i];
        size_t next = skip_token(text, i);
        if (ended && !g_ascii_isspace(c)) {
            return err_set(e, ERR_PROTOCOL,
                           "invalid JSON: text behind its end at byte %zu", i);
        }
        if (next == 0) {
            return err_set(e, ERR_PROTOCOL,
                           "invalid JSON: malformed %s at byte %zu",
                           c == '"'     ? "string"
                           : in_word(c) ? "number, or beyond 64 bits,"
                                        : "text",
                           i);
        }
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= c == ']' || c == '}' ? 1 : 0;
        ended = ended || (depth == 0 && (c == ']' || c == '}'));
        if (depth > JSON_DEPTH_MAX) {
            return err_set(e, ERR_LIMIT,
                           "JSON nested deeper than %d at byte %zu",
                           JSON_DEPTH_MAX, i);
        }
        i = next;
    }
    return true;
}

JsonObject *
jsontext_object(JsonParser *parser, Str text, Err *e)
{
    GError *err = NULL;

    if (!jsontext_check(text, e)) {
        return NULL;
    }
    if (!json_parser_load_from_data(parser, text.n == 0 ? "" : text.p,
                                    (gssize)text.n, &err)) {
        err_set(e, ERR_PROTOCOL, "invalid JSON: %s",
                err == NULL ? "empty" : err->message);
        g_clear_error(&err);
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        err_set(e, ERR_PROTOCOL, "not a JSON object");
        return NULL;
    }
    return json_node_get_object(root);
}
