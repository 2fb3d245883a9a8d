/*
 * entry - state of one mimosa-entry process.  Private to entry_*.c.
 *
 * Everything runs on one main loop.  A Req is one request of a caller or of
 * another entry VM; it is decided by entry_req, admitted and placed by its
 * Svc, and sent by a Call.
 */
#ifndef MIMOSA_ENTRY_H
#define MIMOSA_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#include <libsoup/soup.h>

#include "adm.h"
#include "ctlc.h"
#include "ctr.h"
#include "entry_up.h"
#include "httpsrv.h"
#include "idem.h"
#include "inv.h"
#include "link.h"
#include "lookup.h"
#include "loopsrc.h"
#include "reqhead.h"
#include "retry.h"
#include "settings.h"
#include "shift.h"
#include "slot.h"
#include "snap.h"
#include "suspect.h"

#define FLEET_PROOF_BYTES 65
#define TICK_MS 5
#define FORWARD_CONNECTIONS 512 /* to one entry VM */

/* A slot that an answer occupies in counters. */
typedef enum EntryCtr {
    EC_REQUESTS,
    EC_ANSWERED,
    EC_NOT_RUN,
    EC_UNKNOWN,
    EC_REFUSED_HEAD,
    EC_CANCELLED,
    EC_FORWARDED,
    EC_RETRIES,
    EC_SENDS_BARRED,
    EC_REPLAYED,
    EC_CRASHES,
    EC_CONVICTED,
    EC_LEAVING_SEEN,
    EC_BYTES_IN,
    EC_BYTES_OUT,
    EC_N
} EntryCtr;

typedef struct Entry Entry;
typedef struct Svc Svc;
typedef struct Req Req;

typedef enum ReqState {
    REQ_READING, /* head and body come in */
    REQ_WAITING, /* for the result of another attempt of its key */
    REQ_QUEUED,  /* in its service's queue */
    REQ_RUNNING, /* sent to a target */
    REQ_FORWARDED,
    REQ_HELD, /* the news of a crash goes out first */
    REQ_DONE  /* answered or dropped */
} ReqState;

struct Req {
    Entry *en;
    uint64_t id;
    ReqState state;
    ReqHead head;
    int service;            /* in the present manifest */
    SoupServerMessage *msg; /* NULL: the caller is gone */
    GSocketAddress *remote; /* names the connection */
    uint8_t client[16];
    char client_text[INET6_ADDRSTRLEN + 1];
    int from_home; /* home zone of the caller's block */
    int64_t arrival_us;
    int64_t deadline_us;
    int64_t sent_us;
    GSequenceIter *deadline_at;
    GList link; /* in Entry.reqs */

    GByteArray *body; /* up to BODY_HASH_BYTES */
    int64_t body_got;
    int64_t body_length; /* Content-Length; -1: chunked */
    bool body_whole;
    bool routed;
    int pipe_fd; /* write end, while a longer body streams; else -1 */
    int pipe_read_fd;
    GByteArray *pipe_rest;
    GSource *pipe_source;
    GSource *cut_source;

    int target; /* of the running attempt; -1: none */
    int avoid;
    int tries;
    int zone; /* drawn or forwarded to */
    int fwd_vm;
    bool alone; /* runs as a crash suspect */
    bool crashed;
    bool maybe_run;   /* sent, and no proof that it was not run */
    bool earlier_run; /* the same of an attempt before this one */
    bool barred;      /* not sent because ownership had lapsed */
    bool shed;
    bool has_head;       /* of the answer */
    Adm *counted;        /* where its start was accounted */
    struct Crash *crash; /* it was in flight when its target died */
    GSource *hold_source;
    uint64_t print;
    Call *call;

    bool record_says; /* not-run, by the record of its key */
    bool owns_record; /* must finish the idempotency record */
    bool cut_after; /* close the connection once told: its body is not read */
    uint64_t key;
    GByteArray *keep; /* answer bytes for the record */
    bool keep_over;

    bool collect; /* the answer is handed over whole */
    bool begun;   /* bytes of the answer went to the caller */
    int status;
    int64_t answer_bytes;
    const char *fwd_outcome; /* of another entry's answer */
    char content_type[NAME_BYTES];
};

struct Svc {
    Entry *en;
    int index;
    char name[NAME_BYTES];
    Adm *adm;
    SlotSet *slots;
    Retry retry;
    ShiftPicker drawers[ZONES_MAX]; /* by home zone */
    double demand[ZONES_MAX];       /* busy slots wanted, by home zone */
    int arrived[ZONES_MAX];         /* in this second, by home zone */
    int n_own;                      /* targets of the own zone */
    int *own;                       /* their manifest indexes */
    bool pumping;
};

struct Entry {
    const Settings *set;
    GMainLoop *loop;
    HttpSrv *http;
    UpPool *up;
    CtlClient *ctl;
    CtrSet *ctrs;
    Ctr *c[EC_N];
    GRand *rnd;
    char proof[FLEET_PROOF_BYTES]; /* value of Mimosa-Fleet */
    Snapshot *snap;
    /* Whether full budgets are in force in the slot sets. */
    OwnMode applied;    /* mode that budgets and key ranges follow */
    int64_t stepped_us; /* newest call of entry_apply_time() */
    int64_t resumed_us; /* end of the newest pause of this process */
    LookupTable *blocks;
    uint64_t blocks_version;
    Svc *svcs[SERVICES_MAX];
    int n_svcs;
    Idem *idem;
    Suspects *suspects;
    GHashTable *waiters; /* key hash -> GPtrArray of Req */
    GHashTable *queued;  /* id -> Req */
    GSequence *deadlines;
    GQueue reqs;
    uint64_t next_id;
    size_t body_bytes;              /* held in memory */
    int64_t zone_bad_us[ZONES_MAX]; /* when forwarding failed last */
    int64_t last_arrival_us;
    int64_t stop_at_us; /* planned stop began; 0: not */
    GSource *tick_source;
    GSource *second_source;
    GSource *term_source;
    GSource *int_source;
    GHashTable *polls; /* target addresses with a poll under way */
    Ctr *polled;
};

/* entry_run */
/*
 * Runs until a planned stop; returns the exit code.  feed, when not NULL, is
 * called once in place of connecting to control; it must bring snapshots by
 * entry_take_snapshot().
 */
typedef void (*EntryFeed)(Entry *en, void *ctx);
int entry_run(const Settings *set, EntryFeed feed, void *ctx, Err *e);
void entry_take_snapshot(void *ctx, Snapshot *s);
/* Applies budgets that the present time allows; call before each send. */
OwnMode entry_mode(const Entry *en, int64_t now_us);
bool entry_apply_time(Entry *en, int64_t now_us);
bool entry_owned_now(const Entry *en, int target, int64_t now_us);
static inline int64_t
entry_wall_us(void)
{
    return g_get_real_time();
}

/* entry_http */
bool entry_http_start(Entry *en, Err *e);
void req_answer_text(Req *r, int status, const char *outcome,
                     const char *reason, const char *text, int retry_ms);
void req_answer_begin(Req *r, int status, SoupMessageHeaders *h);
void req_answer_data(Req *r, GBytes *data);
void req_answer_end(Req *r);
void req_answer_drop(Req *r); /* undoes req_answer_begin before it is sent */
void req_answer_cut(Req *r);
void req_body_stream(Req *r); /* moves a long body into its pipe */

/* entry_req */
Req *req_new(Entry *en, SoupServerMessage *msg, const ReqHead *h);
void req_route(Req *r);
void req_dispatch(Req *r); /* draws the zone and runs or forwards */
void req_run_here(Req *r); /* admits it, or forwards it to an owner */
void req_gone(void *ctx, void *user);
void req_msg_ended(Req *r);
void req_late(Req *r);
void req_too_long(Req *r); /* its body is over BODY_BYTES_MAX */
void req_set_state(Req *r, ReqState s);
/* Ends of a request, each exactly once. */
void req_refuse(Req *r, const char *reason, int retry_ms, const char *text);
void req_unknown(Req *r, const char *reason);
void req_answered(Req *r);
void req_drop(Req *r);
int64_t req_left_ms(const Req *r, int64_t now_us);

/* entry_svc */
Svc *svc_new(Entry *en, int index);
void svc_free(Svc *s);
void svc_replace(Entry *en, Snapshot *now, Snapshot *old);
void svc_apply_budgets(Entry *en, int64_t now_us);
void svc_admit(Req *r);
void svc_pump(Svc *s);
void svc_cancel(Req *r); /* takes a request out of the queue */
bool svc_usable(const Svc *s, int64_t now_us);

/* entry_send: attempts on a target */
void send_start(Req *r, int target);
void send_cancel(Req *r, SlotEnd how);
/* Decides what follows an attempt that gave no answer. */
void send_decide(Req *r, AttemptEnd how);
/* Body, method and query of a call made for r.  False: a streamed body was
 * used up by an earlier attempt. */
bool send_body(Req *r, CallOpts *o);
void send_begin_answer(Req *r, int status, SoupMessageHeaders *h);
void send_on_data(void *ctx, GBytes *data);
void send_keep(Req *r, GBytes *data);
void send_end_crashed(Req *r);

/* entry_fwd */
typedef enum FwdWhy {
    FWD_ZONE,
    FWD_OWNER,
    FWD_KEY_HOME,
    FWD_KEY_OWNER
} FwdWhy;
void fwd_start(Req *r, int vm, FwdWhy why);
void fwd_cancel(Req *r);
int fwd_pick_vm(Entry *en, int zone, int avoid);
int fwd_pick_owner(Entry *en, int service, int avoid);

/* entry_once */
void once_route(Req *r);
/* Returns what the caller may be told in place of how. */
IdemEnd once_finish(Req *r, IdemEnd how);
void once_forget_wait(Req *r);
void once_apply(Entry *en, int64_t now_us);

/* entry_crash */
void crash_seen(Req *r);  /* the target closed without an answer */
bool crash_check(Req *r); /* false: refused or parked */
void crash_begin_alone(Req *r);
void crash_end_alone(Req *r, bool well);
void crash_leave(Req *r); /* r leaves REQ_HELD */
void crash_on_news(Entry *en, Str text);

/* entry_health */
void health_poll(Entry *en);

/* entry_admin */
void admin_start(Entry *en);

#endif
