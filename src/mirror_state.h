/*
 * mirror_state - state of a mirror, for the parts of mirror only.
 */
#ifndef MIMOSA_MIRROR_STATE_H
#define MIMOSA_MIRROR_STATE_H

#include "mirror.h"

#include "kvcache.h"
#include "kvpage.h"
#include "registration.h"
#include "resync.h"

/* A watch returns a few hundred events at a time.  A VM that was cut off for
 * seconds has thousands to catch up with, so after an answer of this size it
 * watches again without a pause. */
#define BEHIND_EVENTS 400

/* The copy of the keys with one prefix, and the calls that keep it current. */
typedef struct Feed {
    struct Mirror *m;
    const char *prefix;
    KvConn *conn;
    EvlTimer timer;
    bool listing;
    bool stale;      /* the list under way may be seconds old */
    bool confirming; /* a watch fetches what a stale list lacks */
    bool checking;   /* a watch that returns at once checks whether the copy
                        is current, see mirror_revalidate() */
    bool again;      /* the watch under way began before the copy was to be
                        checked */
    bool listed;     /* a list was completed at least once */
    char *after;     /* last key of the previous page */
    bool relist;     /* list again: keys missing or events unreadable */
    bool pausing;    /* the timer runs for the next watch */
    bool heard;      /* gossip has confirmed the copy since the last watch
                        began */
    uint64_t missed_rev; /* the last of the missing revisions */
    bool missed; /* gossip showed missing revisions.  Other VMs then watch
                    too, so the events of the next watch are not
                    forwarded. */
    int64_t call_start_us; /* start of the last call; steady time */
    int64_t lost_us; /* first of the failed calls in a row; steady time */
    int64_t list_start_us;  /* start of the list under way; boot time */
    int64_t watch_start_us; /* start of the watch; boot time */
    int64_t watch_wait_us;  /* for which the store waits for events */
    EvlTimer wait_end;      /* lets evl_since() be no earlier than the end of
                               the wait when its answer arrives */
    EvlTimer too_old;       /* while an answer is received: the copy is as old
                               as the propagation time */
    int64_t partial_us;     /* all changes before it are known but those that
                               the resync under way will find; boot time */
    int64_t confirmed_us;   /* when the copy was last known to be current; boot
                               time */
    MirrorConfirmation confirmation;
    int64_t failed_us;      /* time of the last failed call; steady time */
    uint64_t asked_rev;     /* position when the call under way began, or the
                               list that it is part of */
    int64_t gossip_from_us; /* gossip from before is ignored; steady time */
    int64_t backoff_us;
    size_t value_bytes; /* of the largest value so far */
    bool failing;
    bool urgent_pending; /* changes were missed; read the urgent keys first */
    bool asked;          /* the list of the urgent keys is that of
                            mirror_ask_urgent() */
    bool lacked;         /* it holds a change that the copy had counted as
                            known */
    bool skip_copies;    /* the resync reads the store itself */
    bool replacing;      /* the revision of the store has fallen, or it has
                            begun another history; its next list counts
                            whatever the revisions of the copy */
    int64_t history_us;  /* when the history of the store began; steady time,
                            0: it is the first one */
    EvlTimer restore;    /* removes keys that were not written again since */
    bool rev_above;      /* the last answer of a watch had a revision above its
                            events */
    Resync *resync;
    KvCache *cache;
    KvPages pages;
} Feed;

struct Mirror {
    MirrorOpts o;
    Feed *feeds;
    XferBacklog backlog;      /* of all connections to the store */
    KvHist history;           /* of all connections to the store */
    int64_t histories;        /* begun so far */
    int64_t history_asked_us; /* last call because of one that another VM has
                                 seen; steady time, 0: none */
    int n_feeds;
    bool ready;
    bool behind;      /* MirrorFns.behind was called, and neither "current" nor
                         "failed" since */
    bool not_current; /* the same without "failed" */
    bool receiving;   /* MirrorFns.receiving was called, and "current" not
                         since */
    const char *source; /* see mirror_source() */
    int64_t calls;
    int64_t deferred;
    int64_t missing;
    Registration *registration;
};

/* Calls MirrorFns.current. */
void mirror_notify_current(struct Mirror *m, int64_t now_us);

/* Records that all changes before at_us (boot time) are known, but those that
 * a resync under way will find. */
void mirror_feed_confirm(Feed *f, int64_t at_us);

/* Time since the copy was known to be current. */
int64_t mirror_feed_age_us(const Feed *f);

/* The same without what a resync has still to find, which does not become
 * newer by a watch. */
int64_t mirror_feed_watched_age_us(const Feed *f);

/* Returns a time before which no change is missing from the copy and the
 * answer of a watch with n events, which has just arrived. */
int64_t mirror_feed_answered_us(const Feed *f, guint n);

/* Arms the timer of the next watch.  by_gossip: the last changes were received
 * from another VM. */
void mirror_feed_pause(Feed *f, bool by_gossip, int64_t now_us);

/* The same after the answer of a watch; confirms_gossip: see
 * mirror_feed_confirms_gossip(). */
void mirror_feed_pause_after_watch(Feed *f, bool confirms_gossip,
                                   int64_t now_us);

/* Returns true if the answer of a watch only confirms what gossip has
 * confirmed during the watch.  VMs whose watches alternate never receive
 * gossip during a pause, so one of them has to defer its watch after such an
 * answer and must not forward it: that would defer the other one too. */
bool mirror_feed_confirms_gossip(const Feed *f, const KvPage *p);

/* Reads the urgent keys; the watch continues from their revision. */
void mirror_feed_list_urgent(Feed *f);

/* Lists all keys, or the next page of them. */
void mirror_feed_list(Feed *f);

/* An answer of the store shows that changes were missed. */
void mirror_feed_changes_missed(Feed *f, int64_t now_us);

/* An answer has begun; ctx: its feed.  The copy may grow too old while the
 * rest is received, and mirror_on_too_old() is then called. */
void mirror_on_begin(void *ctx, int status, int64_t now_us);
void mirror_on_too_old(void *ctx, int64_t now_us);

/* Let the store begin another history; see MirrorFns.history_begun. */
void mirror_init_history(struct Mirror *m);
void mirror_feed_init_history(Feed *f);

/* Logs what the first list of a history lacks. */
void mirror_feed_log_replaced(const Feed *f, int64_t now_us);

/* Applies the urgent keys that mirror_ask_urgent() read.  Returns true if the
 * copy lacked changes before its position, or its position is not one of the
 * store: then a resync has begun, and the position is that of the page. */
bool mirror_feed_asked(Feed *f, const KvPage *p, int64_t now_us);

/* Applies the events of a watch, and forwards them to nearby VMs if the answer
 * is recent enough.  Returns false if it may lack events and the store is to
 * be asked again at once. */
bool mirror_feed_apply(Feed *f, const KvPage *p, int64_t now_us);

/* Sets the position after a page of a list.  A page of a copy shows the
 * changes up to the last of its items only: its revision may be that of the
 * store.  The oldest page counts, and the watch returns later changes again.
 */
void mirror_feed_listed(Feed *f, const KvPage *p);

/* Returns true if the revision of an answer of the store itself is below the
 * position from which it was asked: the store came back from an older copy.
 * All keys are then to be listed, and the list replaces the copy. */
bool mirror_feed_rev_back(Feed *f, const KvPage *p);

/* Merges a page of a list into the cache. */
void mirror_feed_merge(Feed *f, const KvPage *p, int64_t now_us);

/* Ends a list that replaces the copy. */
void mirror_feed_replaced(Feed *f, int64_t now_us);

/* Returns true if the revision of the answer of a watch, whose events are
 * applied, is above what they show, for the first time in a row.  The next
 * watch then shows whether an event was missing; a store that names a revision
 * without an event of its own is not asked more often. */
bool mirror_feed_lacks_events(Feed *f, const KvPage *p);

#endif
