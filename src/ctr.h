/*
 * ctr - metrics of a process.
 *
 * A set owns named counters, which only grow, and gauges.  Names have the form
 * "part_what_unit".  A counter is looked up once and then used by pointer, so
 * that an increment costs one addition.
 */
#ifndef MIMOSA_CTR_H
#define MIMOSA_CTR_H

#include <stdint.h>

#include <glib.h>

typedef struct CtrSet CtrSet;

typedef struct Ctr {
    int64_t value;
} Ctr;

CtrSet *ctr_set_new(void);
void ctr_set_free(CtrSet *s);

/*
 * Returns the counter with this name and these labels, and creates it on first
 * use.  Labels are a text such as "service=\"a\",rank=\"b\"", or "" for none.
 * The pointer stays valid until the set is freed.
 */
Ctr *ctr_get(CtrSet *s, const char *name, const char *labels);

/* Appends all counters to out as lines "name{labels} value", sorted. */
void ctr_text(const CtrSet *s, GString *out);

static inline void
ctr_add(Ctr *c, int64_t n)
{
    c->value += n;
}

#endif
