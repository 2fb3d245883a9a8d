/* heard - configurations that other VMs have in force.  See heard.h. */
#include "heard.h"

#include <string.h>

#include <glib.h>

#include "hash.h"

/* Part of the propagation time.  A watch of a VM in each zone returns within
 * its pause and a round trip, and gossip in that zone follows at once; the
 * rest is for heartbeats, the tick and the call. */
#define DELAY_SHARE 0.35

static uint64_t
sender_hash(const char *vm)
{
    return hash_str(str_of(vm), 0);
}

static bool
is_refuted(const Heard *h, uint64_t sender, uint64_t rev)
{
    uint64_t n = MIN(h->n_refuted, HEARD_REFUTED_MAX);

    for (uint64_t i = 0; i < n; i++) {
        if (h->refuted[i].sender == sender && h->refuted[i].rev == rev) {
            return true;
        }
    }
    return false;
}

static void
remove_claim(Heard *h, int i)
{
    h->n--;
    memmove(&h->claims[i], &h->claims[i + 1],
            (size_t)(h->n - i) * sizeof(h->claims[0]));
}

void
heard_add(Heard *h, const char *vm, uint64_t rev, uint64_t version,
          uint64_t own_rev, int64_t now_us)
{
    h->newest_version = MAX(h->newest_version, version);
    if (rev <= own_rev || is_refuted(h, sender_hash(vm), rev)) {
        return;
    }
    for (int i = 0; i < h->n; i++) {
        if (h->claims[i].rev == rev) {
            return;
        }
    }
    if (h->n == HEARD_CLAIMS_MAX) {
        /* The first one says since when this VM is behind. */
        remove_claim(h, HEARD_CLAIMS_MAX - 1);
    }
    HeardClaim *c = &h->claims[h->n++];
    *c = (HeardClaim){.rev = rev, .version = version, .since_us = now_us};
    g_strlcpy(c->vm, vm, sizeof(c->vm));
}

static HeardClaim *
highest(Heard *h)
{
    HeardClaim *best = NULL;

    for (int i = 0; i < h->n; i++) {
        if (best == NULL || h->claims[i].rev > best->rev) {
            best = &h->claims[i];
        }
    }
    return best;
}

HeardClaim *
heard_step(Heard *h, uint64_t own_rev, int64_t propagation_us, int64_t now_us)
{
    int64_t delay_us = (int64_t)((double)propagation_us * DELAY_SHARE);

    for (int i = h->n - 1; i >= 0; i--) {
        if (h->claims[i].rev <= own_rev) {
            remove_claim(h, i);
        }
    }
    if (h->n == 0 || h->asking || now_us - h->claims[0].since_us < delay_us ||
        (h->asked_us != 0 && now_us - h->asked_us < propagation_us)) {
        return NULL;
    }
    return highest(h);
}

void
heard_asked(Heard *h, int64_t now_us)
{
    h->asking = true;
    h->asked_us = now_us;
}

bool
heard_answered(Heard *h, uint64_t own_rev, HeardClaim *refuted)
{
    h->asking = false;
    for (int i = 0; i < h->n; i++) {
        const HeardClaim *c = &h->claims[i];
        if (c->rev > own_rev && c->since_us <= h->asked_us) {
            uint64_t at = h->n_refuted++ % HEARD_REFUTED_MAX;
            h->refuted[at].sender = sender_hash(c->vm);
            h->refuted[at].rev = c->rev;
            *refuted = *c;
            remove_claim(h, i);
            return true;
        }
    }
    return false;
}

void
heard_begin_history(Heard *h)
{
    h->n = 0;
    h->n_refuted = 0;
}

int64_t
heard_since(const Heard *h, uint64_t rev)
{
    for (int i = 0; i < h->n; i++) {
        if (h->claims[i].rev <= rev) {
            return h->claims[i].since_us;
        }
    }
    return 0;
}
