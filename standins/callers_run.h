/*
 * callers_run - kinds of requests and state of standin-callers.
 */
#ifndef MIMOSA_CALLERS_RUN_H
#define MIMOSA_CALLERS_RUN_H

#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "h1.h"
#include "limits.h"
#include "strm.h"

#define CALLERS_MAX 500
#define TIMEOUT_MS_MAX 600000
#define SECONDS_MAX 600
#define END_CHECK_US 100000
#define HEAD_MAX_BYTES 16384
#define BODY_KEPT_BYTES 128 /* of a response, to compare it */
#define THINK_MAX_US 10000  /* between two requests of a caller */
#define IDLE_MAX_US 5000000 /* the same of a caller that pauses */
#define IDLE_PERCENT 2      /* unless the option --idle is given */
#define RECONNECT_US 5000
#define ANSWER_TIMEOUT_US 5000000
#define EOF_TIMEOUT_US 2000000 /* after a response with Connection: close */
#define HEAD_PAUSE_MAX_US 50000
#define BODY_PAUSE_MAX_US 400000
#define READ_DELAY_US 300000 /* of a slow reader */
#define LONG_DELAY_US 1000000
/* An end of stream later than this after the request is not the answer to an
 * earlier close of an idle connection. */
#define CROSS_US 50000
#define KEEP_PERCENT 70
#define HELD_MAX 200 /* connections that the callers never close */
#define BIN_US 250000
#define BINS 60
#define STATUS_MAX 600

enum {
    POST = 1,
    CLOSE = 2,   /* Connection: close */
    PIECES = 4,  /* the head is sent in two pieces */
    PAUSE = 8,   /* the body pauses in the middle */
    BLANK = 16,  /* a blank line behind the request */
    NEXT = 32,   /* the next request is sent early */
    SLOW = 64,   /* reads late */
    HOLD = 128,  /* never closes its side */
    LATE = 256,  /* the bytes behind the request are sent before the read */
    LARGE = 512, /* response of LARGE_BYTES */
    HUGE = 1024, /* response of HUGE_MIN_KB to HUGE_MAX_KB */
    LONG = 2048  /* reads very late */
};

#define NEXT_KIND 0 /* of a request that is sent early */

typedef struct Kind {
    const char *name;
    const char *path;
    unsigned flags;
    int weight; /* 0: only with --kinds */
} Kind;

static const Kind kinds[] = {
    {"early", "/write/x/ok", 0, 1},
    {"get", "/read/x/ok", 0, 5},
    {"post", "/write/x/ok", POST, 5},
    {"pieces", "/write/x/ok", POST | PIECES, 3},
    {"pause", "/write/x/ok", POST | PAUSE, 2},
    {"large", "/read/x/large", LARGE, 1},
    {"reader", "/read/x/large", LARGE | SLOW, 1},
    {"blank", "/write/x/ok", CLOSE | BLANK, 1},
    {"next", "/write/x/ok", NEXT, 1},
    {"behind", "/write/x/ok", CLOSE | NEXT, 1},
    {"hold", "/read/x/ok", CLOSE | HOLD, 1},
    {"slow", "/write/x/slow", 0, 0},
    {"cut", "/write/x/large", CLOSE | LARGE | SLOW | BLANK | LATE, 0},
    {"cutnext", "/write/x/large", CLOSE | LARGE | SLOW | NEXT | LATE, 0},
    {"hugereader", "/read/x/huge", HUGE | SLOW | LONG, 0},
    {"huge", "/write/x/huge", CLOSE | HUGE | SLOW | NEXT | LATE, 0},
};

typedef struct Request {
    char id[NAME_BYTES];
    const Kind *kind;
    bool fresh; /* first of its connection */
    bool early; /* sent before the response to the one before */
    bool sent;  /* all of its bytes */
    int64_t begin_us;
    char path[NAME_BYTES];
    size_t expected; /* bytes of the body of a large response */
    size_t got;
} Request;

/* A request to check at the end. */
typedef struct Ended {
    Request req;
    const char *why;
    int64_t end_us;
    bool crossed;
} Ended;

typedef enum Step { BEGIN, SEND_REST, SEND_BEHIND, READ, GIVE_UP } Step;
typedef enum State { IDLE, CONNECTING, WAITING, ENDING } State;

typedef struct Client {
    struct Run *run;
    int number;
    int count;
    Strm strm;
    H1 response;
    GRand *rnd;
    EvlTimer timer;
    Step step; /* when the timer fires */
    State state;
    bool kept; /* the connection may be used again */
    Request req;
    bool has_next;
    Request next;
    GByteArray *rest; /* bytes of the request to send later */
    char start[BODY_KEPT_BYTES];
    size_t n_start;
} Client;

typedef enum Bin { B_OK, B_NOT_RUN, B_OTHER, B_REFUSED, B_LOST, B_KINDS } Bin;

typedef struct Run {
    Evl *loop;
    struct sockaddr_in vm;
    struct sockaddr_in store;
    int64_t seed;
    int64_t n_clients;
    int64_t seconds;
    int64_t end_us;
    int64_t idle_percent;
    int64_t timeout_ms; /* of the routes; 0: not known */
    int timeline;
    GPtrArray *chosen; /* Kind */
    Client *clients;
    int active;
    bool stopping;
    EvlTimer end_timer;
    GArray *lost;    /* Ended */
    GArray *not_run; /* Ended: answered with a status that says so */
    GArray *dropped; /* Ended */
    int64_t requests, whole, refused, bad;
    int64_t status[B_KINDS];
    int by_status[STATUS_MAX + 1];
    int bins[BINS][B_KINDS];
    int held[HELD_MAX];
    int n_held;
} Run;

static volatile sig_atomic_t stop_requested;
/* Set by SIGUSR1, on the clock of g_get_monotonic_time(); 0: not set. */
static volatile int64_t moment_us;

static inline int64_t
since_moment_ms(int64_t at_us)
{
    return moment_us == 0 ? -1 : (at_us - moment_us) / 1000;
}

#endif
