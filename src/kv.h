/*
 * kv - a connection to a key-value service over HTTP, with one call at a time.
 *
 * A KvCodec writes the requests and parses the answers.  This module handles
 * time limits, lost connections and status codes only.
 */
#ifndef MIMOSA_KV_H
#define MIMOSA_KV_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dlog.h"
#include "err.h"
#include "evl.h"
#include "kvhist.h"
#include "limits.h"
#include "str.h"
#include "xferlimit.h"

#define KV_BASE64_BYTES(n) ((n) / 3 * 4 + 4)
/* A page is complete with the item that exceeds its bytes.  Its size is given
 * as "about", so an answer may be twice as large. */
#define KV_ANSWER_BYTES_MAX                                                   \
    (2 * (KV_BASE64_BYTES(STORE_PAGE_BYTES) +                                 \
          KV_BASE64_BYTES(STORE_VALUE_BYTES_MAX) +                            \
          STORE_PAGE_ITEMS * STORE_ITEM_BYTES))

typedef struct KvItem {
    char *key;
    GBytes *value; /* NULL when deleted */
    uint64_t rev;  /* revision of the store at the key's last change */
    bool deleted;
} KvItem;

/* A page of a listing, or the events of a watch. */
typedef struct KvPage {
    GArray *items;       /* KvItem */
    int n_sent;          /* items that the store sent; set by kvpage_read() */
    int dropped;         /* items that could not be read */
    bool more;           /* another page follows */
    uint64_t rev;        /* revision of the store when it answered */
    uint64_t proven_rev; /* revision that the items show, at most rev; set by
                            kvpage_read() */
} KvPage;

typedef struct KvLease {
    uint64_t id;
    int64_t ttl_us;
} KvLease;

/* Functions that return a GString write a whole HTTP request. */
typedef struct KvCodec {
    const char *history_header; /* see KvHist.header */
    /* after: last key of the previous page, NULL for the first page; stale:
     * the answer may be seconds old and is cheaper. */
    GString *(*list)(const char *prefix, const char *after, bool stale);
    /* Asks for the events after a revision; if there are none, the store waits
     * up to wait_ms for one. */
    GString *(*watch)(const char *prefix, uint64_t after, int wait_ms);
    GString *(*lease_new)(int64_t ttl_us);
    GString *(*lease_renew)(uint64_t id);
    GString *(*lease_end)(uint64_t id);
    /* The key is bound to a lease: the store removes it when the lease ends.
     */
    GString *(*put)(const char *key, Str value, uint64_t lease);
    /* Answers carry no id of their call, so each reads the answers of its own
     * kind of call only.  Errors: ERR_PROTOCOL. */
    bool (*read_list)(Str body, KvPage *out, Err *e);
    bool (*read_events)(Str body, KvPage *out, Err *e);
    bool (*read_lease)(Str body, KvLease *out, Err *e);
} KvCodec;

void kv_page_clear(KvPage *p);

#define KV_NO_ANSWER 0    /* the call may have been or may yet be executed */
#define KV_NOT_SENT (-1)  /* no connection; the call was not sent */
#define KV_TOO_LARGE (-2) /* the answer exceeds the limit and was dropped */
/* The answer is of a former history, and was dropped. */
#define KV_FORMER (-3)
/* The answer is the first one of a later history, and was dropped, as the call
 * was made for another.  KvHist.begun is called next. */
#define KV_LATER (-4)

/* status: HTTP status, or one of the above. */
typedef void (*KvDone)(void *ctx, int status, Str body, int64_t now_us);

typedef struct KvConn KvConn;

/* log: of malformed answers, which count as none; may be NULL. */
KvConn *kv_new(Evl *loop, const struct sockaddr_in *at, Dlog *log);
void kv_free(KvConn *c);

/* Lets connections to the same store know of each other's answers.  The
 * backlog is borrowed.  NULL: the connection has its own. */
void kv_share_backlog(KvConn *c, XferBacklog *b);
/* Looks at the history that each answer names.  h is borrowed; NULL: none is
 * looked at. */
void kv_share_history(KvConn *c, KvHist *h);
bool kv_busy(const KvConn *c);

/* Starts a call and takes ownership of the request.  The connection must not
 * be busy.  timeout_us: until the answer begins, longer while
 * bytes of other answers are on the way, and then without progress; see
 * xferlimit.h.  A new connection gets only part of the time: a packet that
 * opens it and is lost is sent again after a second, a further attempt sooner.
 */
void kv_call(KvConn *c, GString *request, int64_t timeout_us, KvDone done,
             void *ctx);

/* status: HTTP status of an answer whose head is complete and whose body is
 * not. */
typedef void (*KvBegin)(void *ctx, int status, int64_t now_us);

/* Sets a function that is called at most once in a call, before KvDone, when
 * the answer has begun.  An answer that arrives whole need not be reported.
 * The function must not start, cancel or end calls, nor close or free the
 * connection.  NULL: none. */
void kv_on_begin(KvConn *c, KvBegin fn, void *ctx);

/* Limits the body of the answer to the next calls; a longer one ends with
 * KV_TOO_LARGE.  KV_ANSWER_BYTES_MAX: no limit but the largest page. */
void kv_limit_answer(KvConn *c, size_t bytes);

/* Ends the connection, on which another answer may be under way.  Not during a
 * call. */
void kv_disconnect(KvConn *c);

/* Cancels the call under way; its callback is not called. */
void kv_cancel(KvConn *c);

/* True if the answer to the call under way has arrived in part, or whole, and
 * is not read. */
bool kv_unread(const KvConn *c);

/* Bytes of the body that have arrived, of the call under way or the last one;
 * also of an answer that was given up. */
size_t kv_received(const KvConn *c);

#endif
