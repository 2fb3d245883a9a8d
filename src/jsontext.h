/*
 * jsontext - the entry point of all JSON that this program reads.
 *
 * The parser of json-glib recurses for each nested array and object, so text
 * that is nested deeply enough overflows the stack.  The text is therefore
 * checked without recursion first.
 */
#ifndef MIMOSA_JSONTEXT_H
#define MIMOSA_JSONTEXT_H

#include <json-glib/json-glib.h>

#include "err.h"
#include "str.h"

/*
 * Checks the nesting and the syntax of strings and numbers.  Comments and
 * quotes other than the double quote, which json-glib accepts, are errors:
 * they would hide brackets from this check.  Whole numbers must fit 64 bits;
 * one of 2^63 or more reads as negative.  An escaped NUL, which would cut its
 * string, is an error, and so is text behind the first array or object.  Other
 * syntax is left to the parser.
 * Errors: ERR_LIMIT (nested deeper than JSON_DEPTH_MAX), ERR_PROTOCOL.
 */
bool jsontext_check(Str text, Err *e);

/* Checks and parses a JSON object, which lives as long as the parser.  Returns
 * NULL on errors, as jsontext_check(). */
JsonObject *jsontext_object(JsonParser *parser, Str text, Err *e);

#endif
