/*
 * newsparts - news of the store that do not fit one datagram, compressed and
 * sent in several.
 *
 * Load it answers: hundreds of upstreams that start, leave or drain at once,
 * and configurations of many routes, in zones with dozens of VMs.  Without it
 * each of them would ask the store.  A receiver that misses a part has nothing
 * and watches the store itself when its pause ends.
 */
#ifndef MIMOSA_NEWSPARTS_H
#define MIMOSA_NEWSPARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "news.h"

#define NEWSPARTS_MAX 64 /* datagrams of one piece of news */

/* id: tells this piece from all others near by.  Returns GBytes, one for each
 * datagram, or NULL when there is too much to tell. */
GPtrArray *newsparts_split(const NewsOut *o, uint64_t id);

bool newsparts_is(const char *p, size_t n);

/* Puts parts together. */
typedef struct Newsparts Newsparts;

Newsparts *newsparts_new(void);
void newsparts_free(Newsparts *s);

typedef enum NewspartsUse {
    NEWSPARTS_MORE,  /* other parts are missing, or it came twice */
    NEWSPARTS_WHOLE, /* w is set; release with kv_page_clear(&w->page) */
    NEWSPARTS_BAD    /* not ours */
} NewspartsUse;

NewspartsUse newsparts_take(Newsparts *s, const char *p, size_t n, News *w);

#endif
