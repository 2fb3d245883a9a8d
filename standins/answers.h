/*
 * answers - answers of targets that are malformed, and unusual ones that are
 * well-formed, byte for byte.  Used by standin-platform and by check programs.
 */
#ifndef MIMOSA_STANDIN_ANSWERS_H
#define MIMOSA_STANDIN_ANSWERS_H

#include <stdbool.h>

#include "str.h"

typedef struct Answer {
    const char *name;
    int status;       /* that the caller gets; 0: malformed, never passed on */
    const char *body; /* that the caller gets */
    Str before;       /* start line, and what precedes the answer's headers */
    Str after;        /* what follows the attempt id and the seal */
} Answer;

/* The texts may contain NUL. */
#define ANSWER_STR(s)                                                         \
    {                                                                         \
        s, sizeof(s) - 1                                                      \
    }
#define ANSWER_BODY "Content-Length: 3\r\n\r\nabc"
#define ANSWER_CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ANSWER_OK "HTTP/1.1 200 OK\r\n"

/* Malformed by the start line, by a line before the headers of the answer or
 * by one behind them. */
#define BAD_START(name, line) BAD(name, line "\r\n", ANSWER_BODY)
#define BAD_FIRST(name, line) BAD(name, ANSWER_OK line "\r\n", ANSWER_BODY)
#define BAD_LINE(name, line) BAD(name, ANSWER_OK, line "\r\n" ANSWER_BODY)
#define BAD_CHUNKS(name, chunks) BAD(name, ANSWER_OK, ANSWER_CHUNKED chunks)
#define BAD(name, before, after)                                              \
    {                                                                         \
        name, 0, "", ANSWER_STR(before), ANSWER_STR(after)                    \
    }
#define GOOD(name, status, body, before, after)                               \
    {                                                                         \
        name, status, body, ANSWER_STR(before), ANSWER_STR(after)             \
    }

static const Answer answers[] = {
    /* Not three digits from 100 to 599. */
    BAD_START("status000", "HTTP/1.1 000 Status"),
    BAD_START("status099", "HTTP/1.1 099 Status"),
    BAD_START("status600", "HTTP/1.1 600 Status"),
    BAD_START("status999", "HTTP/1.1 999 Status"),
    BAD_START("status0", "HTTP/1.1 0 Status"),
    BAD_START("status20", "HTTP/1.1 20 Status"),
    BAD_START("status0200", "HTTP/1.1 0200 Status"),
    BAD_START("status2000", "HTTP/1.1 2000 Status"),
    BAD_START("status-200", "HTTP/1.1 -200 Status"),
    BAD_START("status+200", "HTTP/1.1 +200 Status"),
    BAD_START("status2x0", "HTTP/1.1 2x0 Status"),
    BAD_START("status200x", "HTTP/1.1 200x Status"),
    BAD_START("nostatus", "HTTP/1.1 Status"),
    BAD_START("emptystatus", "HTTP/1.1 "),
    /* Start lines of another shape. */
    BAD_START("twoblanks", "HTTP/1.1  200 Status"),
    BAD_START("tab", "HTTP/1.1\t200 Status"),
    BAD_START("tabreason", "HTTP/1.1 200\tStatus"),
    BAD_START("blankfirst", " HTTP/1.1 200 Status"),
    BAD_START("linefirst", "\r\nHTTP/1.1 200 Status"),
    BAD_START("version0.9", "HTTP/0.9 200 Status"),
    BAD_START("version2.0", "HTTP/2.0 200 Status"),
    BAD_START("version11", "HTTP/11 200 Status"),
    BAD_START("version1", "HTTP/1 200 Status"),
    BAD_START("version1.10", "HTTP/1.10 200 Status"),
    BAD_START("lowercase", "http/1.1 200 Status"),
    BAD_START("noversion", "200 Status"),
    BAD_START("otherprotocol", "ICY 200 Status"),
    BAD_START("reasonnul", "HTTP/1.1 200 Sta\0tus"),
    BAD_START("reasoncr", "HTTP/1.1 200 Sta\rtus"),
    BAD_START("reasonlf", "HTTP/1.1 200 Sta\ntus"),
    /* Field names with a byte that is not allowed, and lines without a name.
     */
    BAD_LINE("nameblank", "X A: b"),
    BAD_LINE("nameblankend", "XA : b"),
    BAD_LINE("nameblankbegin", " XA: b"),
    BAD_LINE("nametab", "X\tA: b"),
    BAD_LINE("nametabend", "XA\t: b"),
    BAD_LINE("namenul", "X\0A: b"),
    BAD_LINE("namenulend", "XA\0: b"),
    BAD_LINE("namenulonly", "\0: b"),
    BAD_LINE("namecontrol", "X\001A: b"),
    BAD_LINE("nameescape", "X\033A: b"),
    BAD_LINE("namedelete", "X\177A: b"),
    BAD_LINE("namecr", "X\rA: b"),
    BAD_LINE("namelf", "X\nA: b"),
    BAD_LINE("namehigh", "X\351A: b"),
    BAD_LINE("namequote", "X\"A: b"),
    BAD_LINE("nameslash", "X/A: b"),
    BAD_LINE("namebracket", "X[A: b"),
    BAD_LINE("nameempty", ": b"),
    BAD_LINE("nocolon", "XA"),
    BAD_LINE("value", "XA: \001"),
    BAD_LINE("valuenul", "XA: \0"),
    BAD_FIRST("firstblank", "X A: b"),
    BAD_FIRST("firstnul", "X\0A: b"),
    BAD_FIRST("firstcontrol", "X\001A: b"),
    /* The same in the names of framing fields. */
    BAD("lengthblank", ANSWER_OK, "Content-Length : 3\r\n\r\nabc"),
    BAD("lengthcontrol", ANSWER_OK, "Content-Length\001: 3\r\n\r\nabc"),
    BAD("lengthnul", ANSWER_OK, "Content-Length\0: 3\r\n\r\nabc"),
    BAD("codingblank", ANSWER_OK,
        "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
    BAD("codingnul", ANSWER_OK,
        "Transfer-Encoding\0: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
    /* Content of responses that have none. */
    BAD("nocontentlength", "HTTP/1.1 204 No Content\r\n", ANSWER_BODY),
    BAD("nocontentchunked", "HTTP/1.1 204 No Content\r\n",
        ANSWER_CHUNKED "3\r\nabc\r\n0\r\n\r\n"),
    BAD("interimlength", "HTTP/1.1 103 Early Hints\r\n" ANSWER_BODY ANSWER_OK,
        ANSWER_BODY),
    BAD("interimchunked",
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n" ANSWER_OK,
        ANSWER_BODY),
    /* Sizes of chunks that are none, or not those of their bytes. */
    BAD_CHUNKS("chunkshort", "3\r\nabcde0\r\n\r\n"),
    BAD_CHUNKS("chunkend", "3\r\nabcxy0\r\n\r\n"),
    BAD_CHUNKS("chunkendlf", "3\r\nabc\n\n0\r\n\r\n"),
    BAD_CHUNKS("chunklong", "4\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizecr", "3\rxabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizelf", "3\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizetext", "3 z\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizenone", ";x\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizeempty", "\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizesign", "+3\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizeprefix", "0x3\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizehuge", "10000000000000003\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("chunksizenegative", "ffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("extensionlf", "3;\nxx\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("extensionnul", "3;x\0y\r\nabc\r\n0\r\n\r\n"),
    BAD_CHUNKS("lastcr", "3\r\nabc\r\n0\rx\r\n"),
    BAD_CHUNKS("lastlf", "3\r\nabc\r\n0\r\n\n"),
    BAD_CHUNKS("lastlinecr", "3\r\nabc\r\n0\r\n\rx"),
    /* The rules of header lines hold for those of a trailer. */
    BAD_CHUNKS("trailerblank", "3\r\nabc\r\n0\r\nX A: b\r\n\r\n"),
    BAD_CHUNKS("trailercontrol", "3\r\nabc\r\n0\r\nX\001A: b\r\n\r\n"),
    BAD_CHUNKS("trailernul", "3\r\nabc\r\n0\r\nX\0A: b\r\n\r\n"),
    BAD_CHUNKS("trailerempty", "3\r\nabc\r\n0\r\n: b\r\n\r\n"),
    BAD_CHUNKS("trailernocolon", "3\r\nabc\r\n0\r\nXA\r\n\r\n"),
    BAD_CHUNKS("trailervalue", "3\r\nabc\r\n0\r\nXA: \001\r\n\r\n"),
    BAD_CHUNKS("trailerlf", "3\r\nabc\r\n0\r\nXA: b\n\r\n"),
    BAD_CHUNKS("trailerfold", "3\r\nabc\r\n0\r\nXA: b\r\n c\r\n\r\n"),
    /* HTTP/1.0 has no transfer codings, RFC 9112, section 6.1. */
    BAD("coding1.0", "HTTP/1.0 200 OK\r\n",
        ANSWER_CHUNKED "3\r\nabc\r\n0\r\n\r\n"),
    BAD("coding1.0kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
        ANSWER_CHUNKED "3\r\nabc\r\n0\r\n\r\n"),
    /* No request asks for another protocol. */
    BAD("switching", "HTTP/1.1 101 Status\r\n\r\n" ANSWER_OK, ANSWER_BODY),
    BAD("switchingto",
        "HTTP/1.1 101 Status\r\nConnection: upgrade\r\nUpgrade: "
        "HTTP/1.1\r\n\r\n" ANSWER_OK,
        ANSWER_BODY),
    /* Well-formed. */
    GOOD("ok", 200, "abc", ANSWER_OK, ANSWER_BODY),
    GOOD("highreason", 200, "abc", "HTTP/1.1 200 St\344tus\r\n", ANSWER_BODY),
    GOOD("emptyreason", 200, "abc", "HTTP/1.1 200 \r\n", ANSWER_BODY),
    /* Without the space behind the status, which some servers leave out. */
    GOOD("noreason", 200, "abc", "HTTP/1.1 200\r\n", ANSWER_BODY),
    GOOD("version1.0", 200, "abc", "HTTP/1.0 200 OK\r\n", ANSWER_BODY),
    GOOD("version1.2", 200, "abc", "HTTP/1.2 200 OK\r\n", ANSWER_BODY),
    GOOD("notfound", 404, "abc", "HTTP/1.1 404 Status\r\n", ANSWER_BODY),
    GOOD("highest", 599, "abc", "HTTP/1.1 599 Status\r\n", ANSWER_BODY),
    GOOD("interim", 200, "abc",
         "HTTP/1.1 103 Early Hints\r\nXA: b\r\n\r\n" ANSWER_OK, ANSWER_BODY),
    GOOD("chunks", 200, "abc", ANSWER_OK,
         ANSWER_CHUNKED "1\r\na\r\n002\r\nbc\r\n0\r\n\r\n"),
    GOOD("extension", 200, "abc", ANSWER_OK,
         ANSWER_CHUNKED "3 ;a=\"b c\";d\r\nabc\r\n0;e\r\n\r\n"),
    GOOD("sizeblank", 200, "abc", ANSWER_OK,
         ANSWER_CHUNKED "3 \r\nabc\r\n0 \r\n\r\n"),
    GOOD("trailer", 200, "abc", ANSWER_OK,
         ANSWER_CHUNKED "3\r\nabc\r\n0\r\nXA: b\r\nXB:\r\n\r\n"),
    GOOD("nocontent", 204, "", "HTTP/1.1 204 No Content\r\n", "\r\n"),
    GOOD("nocontent0", 204, "", "HTTP/1.1 204 No Content\r\n",
         "Content-Length: 0\r\n\r\n"),
    /* The length is that of the content which 200 would have; the second one
     * is followed by bytes that belong to no response. */
    GOOD("notmodified", 304, "", "HTTP/1.1 304 Not Modified\r\n",
         "Content-Length: 3\r\n\r\n"),
    GOOD("notmodifiedbody", 304, "", "HTTP/1.1 304 Not Modified\r\n",
         ANSWER_BODY),
    GOOD("name", 200, "abc", ANSWER_OK "!#$%&'*+-.^_`|~0aZ: b\r\n",
         ANSWER_BODY),
};

#endif
