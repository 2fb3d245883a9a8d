/*
 * soak_cfgfaults - faults that soak_config injects.
 *
 * All functions are static; a single program includes this header.
 */
#ifndef MIMOSA_SOAK_CFGFAULTS_H
#define MIMOSA_SOAK_CFGFAULTS_H

#include "soak_cfgdrill.h"

#define LAG_MAX_MS 6000

static void
kill_vm(ConfigVm *v, int64_t now_us)
{
    int64_t same_second = soak_chance(&v->w->s, 0.5);

    kill(v->pid, SIGKILL);
    v->disturbed_us = now_us;
    v->start_at_us =
        now_us + soak_int(&v->w->s, 0, same_second ? 200 : 2000) * MS;
}

static void
freeze_vm(ConfigVm *v, int64_t now_us)
{
    kill(v->pid, SIGSTOP);
    v->disturbed_us = now_us;
    v->resume_us = now_us + soak_int(&v->w->s, 300, 4000) * MS;
}

/* Reads of the settings are no disturbance. */
static void
reload_vm(ConfigVm *v)
{
    if (soak_chance(&v->w->s, 0.5)) {
        write_settings(v->w, v->no);
    }
    kill(v->pid, SIGHUP);
}

static void
disturb_link(ConfigVm *v, int sig, int64_t min_ms, int64_t max_ms,
             int64_t now_us)
{
    kill(v->link_pid, sig);
    v->disturbed_us = now_us;
    v->link_open_us = now_us + soak_int(&v->w->s, min_ms, max_ms) * MS;
}

static void
disturb_store(World *w, Fault kind, int64_t now_us)
{
    static const char *const modes[] = {"busy", "refuse", "silent"};
    char path[64];

    if (kind == FAULT_FORGET) {
        control(w, "/test/mode?forget", "", 0);
    }
    else if (kind == FAULT_LAG) {
        snprintf(path, sizeof(path), "/test/lag?%d",
                 soak_chance(&w->s, 0.2)
                     ? 0
                     : (int)soak_int(&w->s, 200, LAG_MAX_MS));
        control(w, path, "", 0);
    }
    else {
        snprintf(path, sizeof(path), "/test/mode?%s",
                 modes[soak_int(&w->s, 0, 2)]);
        control(w, path, "", 0);
        w->store_disturbed_us = now_us;
        w->store_ok_us = now_us + soak_int(&w->s, 500, 4000) * MS;
    }
}

static void
on_crash_sent(void *ctx, int status, Str body, int64_t now_us)
{
    (void)ctx;
    (void)status;
    (void)body;
    (void)now_us;
}

/* Sends a request that crashes each target that runs it.  Its answer has no
 * bound. */
static bool
send_crash(ConfigVm *v)
{
    World *w = v->w;
    GString *g;
    char text[32];
    struct sockaddr_in at;

    if (v->crash_conn == NULL) {
        snprintf(text, sizeof(text), "127.0.0.1:%d", vm_port(w, v->no));
        strm_parse_addr(str_of(text), &at);
        v->crash_conn = kv_new(w->loop, &at, NULL);
    }
    if (v->pid == 0 || kv_busy(v->crash_conn)) {
        return false;
    }
    g = g_string_new(NULL);
    g_string_printf(g,
                    "GET /a%d/x/crash HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Mimosascale-Attempt-Id: crash-%d-%" G_GUINT64_FORMAT
                    "\r\nX-Mimosascale-Deadline-Ms: 1500\r\n\r\n",
                    (int)soak_int(&w->s, 0, PAIRS - 1), v->no,
                    (guint64)w->s.step++);
    kv_call(v->crash_conn, g, CALL_TIMEOUT_US, on_crash_sent, v);
    return true;
}

/* Injects a fault of that kind; returns false if the VM or the store is under
 * another one that excludes it. */
static bool
inject_kind(World *w, Fault kind, int64_t now_us)
{
    ConfigVm *v = &w->vms[soak_int(&w->s, 0, VMS - 1)];

    if (kind == FAULT_DRILL) {
        return drill_begin(w, now_us);
    }
    if (kind == FAULT_CRASH) {
        return send_crash(v);
    }
    if (kind >= FAULT_STORE) {
        if (drill_active(w) || (kind == FAULT_STORE && w->store_ok_us != 0)) {
            return false;
        }
        disturb_store(w, kind, now_us);
        return true;
    }
    if (kind >= FAULT_CUT) {
        if (v->link_open_us != 0) {
            return false;
        }
        int sig = kind == FAULT_CUT ? SIGUSR1
                  : kind == FAULT_REFUSE
                      ? SIGHUP
                      : SIGRTMIN + (int)soak_int(&w->s, 0, 1);
        disturb_link(v, sig, 500, kind == FAULT_HOLD ? 3000 : 6000, now_us);
        return true;
    }
    if (v->pid == 0 || v->resume_us != 0 ||
        (v->term_us != 0 && kind == FAULT_STOP)) {
        return false;
    }
    if (kind == FAULT_KILL) {
        kill_vm(v, now_us);
    }
    else if (kind == FAULT_FREEZE) {
        freeze_vm(v, now_us);
    }
    else if (kind == FAULT_RELOAD) {
        reload_vm(v);
    }
    else {
        kill(v->pid, SIGTERM);
        v->term_us = now_us;
        v->disturbed_us = now_us;
        v->start_at_us = now_us;
    }
    return true;
}

static void
inject(World *w, int64_t now_us)
{
    static const Fault start_kinds[] = {FAULT_KILL, FAULT_KILL, FAULT_KILL,
                                        FAULT_HOLD, FAULT_LAG};
    int kind = (int)soak_int(&w->s, 0, FAULT_KINDS - 1);

    if (soak_chance(&w->s, DRILL_SHARE)) {
        kind = FAULT_DRILL;
    }
    for (int k = 0; k < FAULT_KINDS; k++) {
        if (soak_fault(&w->s, fault_names[k])) {
            kind = k;
        }
    }
    if (soak_fault(&w->s, "start")) {
        kind = (int)start_kinds[kind % G_N_ELEMENTS(start_kinds)];
    }
    if (!soak_fault(&w->s, "calm") && inject_kind(w, (Fault)kind, now_us)) {
        w->faults[kind]++;
    }
}

/* Reaps an ended process and starts it again, resumes a frozen one, kills one
 * at the end of its time to stop, and opens its link. */
static void
poll_vm(ConfigVm *v, int64_t now_us)
{
    World *w = v->w;
    int status;

    if (v->pid != 0 && waitpid(v->pid, &status, WNOHANG) == v->pid) {
        bool wanted = v->term_us != 0 ||
                      (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
        if (!wanted && now_us - v->started_us > SEC) {
            fprintf(stderr, "soak_config: vm %d ended, status %d\n", v->no,
                    status);
            w->violations++;
        }
        v->pid = 0;
        v->resume_us = 0;
        v->start_at_us = MAX(v->start_at_us, now_us);
    }
    if (v->pid == 0 && now_us >= v->start_at_us) {
        start_vm(w, v->no);
    }
    if (v->resume_us != 0 && now_us >= v->resume_us) {
        kill(v->pid, SIGCONT);
        v->resume_us = 0;
        v->disturbed_us = now_us;
        v->frozen_us = now_us;
    }
    if (v->term_us != 0 && now_us > v->term_us + GRACE_US && v->pid != 0) {
        kill(v->pid, SIGKILL);
    }
    if (v->link_open_us != 0 && now_us >= v->link_open_us) {
        kill(v->link_pid, SIGUSR2);
        v->link_open_us = 0;
        v->disturbed_us = now_us;
    }
}

static void
poll_faults(World *w, int64_t now_us)
{
    for (int i = 0; i < VMS; i++) {
        poll_vm(&w->vms[i], now_us);
    }
    drill_step(w, now_us);
    if (w->store_ok_us != 0 && now_us >= w->store_ok_us) {
        control(w, "/test/mode?ok", "", 0);
        w->store_ok_us = 0;
        w->store_disturbed_us = now_us;
    }
}

/* Whether nothing has disturbed the VM, its link or the store for TOUCH_US
 * before since_us, and up to now. */
static bool
vm_in_touch(const ConfigVm *v, int64_t since_us)
{
    const World *w = v->w;

    return v->pid != 0 && v->resume_us == 0 && v->link_open_us == 0 &&
           w->store_ok_us == 0 && w->drill.back_us == 0 &&
           since_us - v->disturbed_us > TOUCH_US &&
           since_us - w->store_disturbed_us > TOUCH_US;
}

#endif
