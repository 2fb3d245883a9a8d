/*
 * platform_history - changes of the items of standin-platform, and the watches
 * that they are sent to.
 */
#ifndef MIMOSA_PLATFORM_HISTORY_H
#define MIMOSA_PLATFORM_HISTORY_H

#include "platform_state.h"

#define HISTORY_US 20000000 /* time for which changes are kept */
#define WATCH_EVENTS 500    /* in one response to a watch */

static void
append_item(GString *g, const Item *it)
{
    g_string_append(g, g->str[g->len - 1] == '[' ? "" : ",");
    g_string_append(g, "{\"Key\":\"");
    for (const char *s = it->key; *s != '\0'; s++) {
        if ((unsigned char)*s < ' ' || *s == '"' || *s == '\\') {
            g_string_append_printf(g, "\\u%04x", (unsigned)*s);
        }
        else {
            g_string_append_c(g, *s);
        }
    }
    g_string_append_printf(g, "\",\"Rev\":%" G_GUINT64_FORMAT, it->rev);
    if (it->encoded == NULL) {
        g_string_append(g, ",\"Deleted\":true}");
    }
    else {
        g_string_append_printf(g, ",\"Value\":\"%s\"}", it->encoded);
    }
}

static void
event_free(gpointer data)
{
    Event *ev = data;

    g_free(ev->item.key);
    g_free(ev->item.encoded);
    g_free(ev);
}

static void
drop_old_events(Platform *p, int64_t now_us)
{
    for (Event *ev = g_queue_peek_head(p->history);
         ev != NULL && now_us - ev->at_us > HISTORY_US;
         ev = g_queue_peek_head(p->history)) {
        p->lost_rev = ev->item.rev;
        event_free(g_queue_pop_head(p->history));
    }
}

static void
record_event(Platform *p, const Item *it)
{
    Event *ev = g_new0(Event, 1);

    ev->item = *it;
    ev->item.key = g_strdup(it->key);
    ev->item.encoded = g_strdup(it->encoded);
    ev->at_us = evl_now(p->loop);
    g_queue_push_tail(p->history, ev);
    drop_old_events(p, ev->at_us);
}

/* Responds to a watch with its first WATCH_EVENTS changes up to revision upto,
 * or without any if force is set.  Returns true if it has responded; the watch
 * must then be freed. */
static bool
respond_to_watch(Watch *w, uint64_t upto, bool force)
{
    Platform *p = w->p;
    GString *g = g_string_new("{\"events\":[");
    uint64_t last_rev = 0;
    int n = 0;

    for (GList *l = p->history->head; l != NULL && n < WATCH_EVENTS;
         l = l->next) {
        const Item *it = &((const Event *)l->data)->item;
        if (it->rev > w->after_rev && it->rev <= upto &&
            g_str_has_prefix(it->key, w->prefix)) {
            append_item(g, it);
            last_rev = it->rev;
            n++;
        }
    }
    bool done = force || n > 0;
    if (done) {
        g_string_append_printf(g, "],\"CurrentRev\":%" G_GUINT64_FORMAT "}",
                               n < WATCH_EVENTS ? p->rev : last_rev);
        caller_set_user(w->caller, NULL);
        respond(p, w->caller, 200, g->str);
    }
    g_string_free(g, TRUE);
    return done;
}

static void
watch_free(Watch *w)
{
    evl_disarm(w->p->loop, &w->timer);
    g_ptr_array_remove_fast(w->p->watches, w);
    g_free(w->prefix);
    g_free(w);
}

static void
on_watch_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    respond_to_watch(ctx, UINT64_MAX, true);
    watch_free(ctx);
}

static void
notify_watches(Platform *p)
{
    bool withhold = p->mode == MODE_WITHHOLD;
    uint64_t upto = withhold ? p->rev - 1 : UINT64_MAX;

    for (guint i = p->watches->len; i-- > 0;) {
        Watch *w = g_ptr_array_index(p->watches, i);
        if (respond_to_watch(w, upto, withhold)) {
            watch_free(w);
        }
    }
}

/* Returns the item of a key, also of a removed one; NULL if the key was never
 * written. */
static Item *
find_item(const Platform *p, const char *key)
{
    for (guint i = 0; i < p->items->len; i++) {
        Item *x = g_ptr_array_index(p->items, i);
        if (strcmp(x->key, key) == 0) {
            return x;
        }
    }
    return NULL;
}

/* Returns the revision that the store had lag_us ago. */
static uint64_t
lagging_rev(const Platform *p, int64_t now_us)
{
    for (GList *l = p->history->tail; l != NULL; l = l->prev) {
        const Event *ev = l->data;
        if (now_us - ev->at_us >= p->lag_us) {
            return ev->item.rev;
        }
    }
    return p->lost_rev;
}

/* Returns the item of a key as it was at that revision; NULL if there was
 * none.  A state that the history no longer holds is replaced by the present
 * one, whose own revision is later. */
static const Item *
item_at(const Platform *p, const Item *it, uint64_t rev)
{
    bool complete = p->lost_rev == 0;

    if (it->rev <= rev) {
        return it;
    }
    for (GList *l = p->history->tail; l != NULL; l = l->prev) {
        const Item *old = &((const Event *)l->data)->item;
        if (old->rev <= rev && strcmp(old->key, it->key) == 0) {
            return old;
        }
    }
    return complete ? NULL : it;
}

static bool
has_item(const Platform *p, const char *key)
{
    const Item *it = find_item(p, key);

    return it != NULL && it->encoded != NULL;
}

/* Stores the base64 of a value; NULL removes the key. */
static void
put(Platform *p, const char *key, const char *encoded, uint64_t lease)
{
    Item *it = find_item(p, key);

    if (it == NULL) {
        it = g_new0(Item, 1);
        it->key = g_strdup(key);
        g_ptr_array_add(p->items, it);
    }
    g_free(it->encoded);
    it->encoded = g_strdup(encoded);
    it->rev = ++p->rev;
    it->lease = lease;
    record_event(p, it);
    notify_watches(p);
}

static void
put_bytes(Platform *p, const char *key, const void *data, size_t n)
{
    char *encoded = g_base64_encode(data, n);

    put(p, key, encoded, 0);
    g_free(encoded);
}

#endif
