/*
 * ctl.x - RPC messages between controls, and from entry, lookup and
 * mimosactl to a control.  Input of rpcgen: see tools/gen_rpc.sh.
 */
const MS_NAME_LEN = 63;
const MS_ADDR_LEN = 63;
const MS_CHANGE_LEN = 36;
const MS_ZONES = 48;
const MS_VMS = 64;
const MS_ALL_VMS = 512;
const MS_SERVICES = 32;
const MS_TARGETS = 4096;
const MS_RANGES = 64;
const MS_COUNTERS_LEN = 1023;
const MS_TEXT_LEN = 1000000;
const MS_CHUNK = 524288;
const MS_HAVES = 48;
const MS_MARKS = 64;
const MS_JOURNAL_LEN = 262144;

typedef string ms_name<MS_NAME_LEN>;
typedef string ms_addr<MS_ADDR_LEN>;

/* All of a VM that its peers need to know; age_ms counts from the news. */
struct ms_vm {
    ms_name id;
    ms_name zone;
    unsigned hyper incarnation;
    ms_addr control;
    ms_addr entry;
    ms_addr lookup;
    bool leaving;
    bool released;
    unsigned hyper config_version;
    double free_slots;
    unsigned int age_ms;
};

/*
 * vm is sent until the peer tells that it knows the sender.  want_vm asks for
 * the peer's own description.
 */
struct ms_heartbeat {
    ms_name id;
    unsigned hyper incarnation;
    unsigned hyper config_version;
    unsigned hyper epoch;
    unsigned hyper acted_epoch;
    bool leaving;
    bool released;
    double free_slots;
    bool want_vm;
    ms_vm *vm;
    bool promises;
    unsigned hyper echo;
};

/*
 * In a large zone promises go through the relay.  promises: the sender
 * promises to all members not to change the roster; echo: the relay's stamp
 * of its last reply, so that the relay knows since when the promise counts.
 * all: every other member promised, the oldest of them all_age_ms ago.
 */

/* epoch: the roster that the control holds; acted_epoch: the one that its
 * entry has acknowledged, or holds none. */
struct ms_heartbeat_res {
    ms_name id;
    unsigned hyper incarnation;
    unsigned hyper config_version;
    unsigned hyper epoch;
    unsigned hyper acted_epoch;
    bool promise;
    bool leaving;
    double free_slots;
    bool known;
    ms_vm *vm;
    unsigned hyper stamp;
    bool all;
    unsigned int all_age_ms;
};

struct ms_demand {
    unsigned int home;
    double slots;
};

/* Load of one service in a zone; service and home are manifest indexes of
 * config_version. */
struct ms_load {
    unsigned int service;
    double usable_slots;
    double free_slots;
    ms_demand demand<MS_ZONES>;
};

/* Summary of one zone.  whole: the sender is the relay of its zone and has
 * heard of all VMs, so that those left out are gone.  The lists are empty with full = false when the
 * receiver holds them by their hash already. */
struct ms_zone {
    ms_name zone;
    unsigned int age_ms;
    unsigned hyper config_version;
    bool whole;
    unsigned hyper vms_hash;
    bool vms_full;
    ms_vm vms<MS_VMS>;
    unsigned hyper loads_hash;
    bool loads_full;
    ms_load loads<MS_SERVICES>;
};

struct ms_have {
    ms_name zone;
    unsigned hyper vms_hash;
    unsigned hyper loads_hash;
};

struct ms_row {
    ms_name service;
    ms_name home;
    ms_name zones<MS_ZONES>;
    double now<MS_ZONES>;
};

/* mate: sent to the relay of the own zone; the zone holds only the sender's
 * own loads. */
struct ms_digest {
    ms_name id;
    ms_name zone;
    unsigned hyper config_version;
    bool mate;
    bool want_all;
    bool want_rows;
    ms_have have<MS_HAVES>;
    ms_zone zones<MS_ZONES>;
};

/* A zone that the caller holds as it is here is told by its place in the
 * caller's have list and the age of its statement. */
struct ms_same {
    unsigned int index;
    unsigned int age_ms;
};

struct ms_digest_res {
    ms_name id;
    unsigned hyper config_version;
    ms_have have<MS_HAVES>;
    ms_zone zones<MS_ZONES>;
    ms_same same<MS_ZONES>;
    bool rows_valid;
    ms_row rows<1536>;
};

/* A part of the envelope of a version that is at least min_version. */
struct ms_get_config {
    ms_name zone;
    unsigned hyper min_version;
    unsigned int offset;
};

struct ms_config {
    unsigned hyper config_version;
    unsigned int total;
    opaque chunk<MS_CHUNK>;
};

struct ms_get_roster {
    ms_name zone;
};

struct ms_roster {
    unsigned hyper store_version;
    opaque text<MS_CHUNK>;
};

struct ms_report {
    string sender<15>;
    ms_load loads<MS_SERVICES>;
    unsigned hyper config_version;
    unsigned int zone_bad<MS_ZONES>;
    bool leaving;
    string counters<MS_COUNTERS_LEN>;
    opaque journal<MS_JOURNAL_LEN>;
};

/* serial: of the body that the caller holds; 0: none. */
struct ms_snapshot {
    unsigned hyper serial;
    unsigned hyper journal_serial;
    ms_report report;
};

struct ms_snap_vm {
    ms_vm vm;
    unsigned int state;
};

struct ms_snap_row {
    unsigned int service;
    unsigned int home;
    double now<MS_ZONES>;
    double want<MS_ZONES>;
    hyper at_us;
    double moved<MS_MARKS>;
    hyper mark;
};

struct ms_snap_target {
    int owner_vm;
    unsigned int budget;
    unsigned int isolated_budget;
};

struct ms_snap_range {
    int owner_vm;
    bool owned;
    hyper tenure_wall_us;
};

struct ms_snap_body {
    ms_name zone;
    ms_name id;
    ms_snap_vm vms<MS_ALL_VMS>;
    ms_snap_row rows<1536>;
    unsigned int zone_up<MS_ZONES>;
    ms_snap_target targets<MS_TARGETS>;
    ms_snap_range ranges<MS_RANGES>;
    double zone_free<1536>;
};

struct ms_snapshot_res {
    unsigned hyper serial;
    unsigned hyper config_version;
    string change_id<MS_CHANGE_LEN>;
    unsigned hyper epoch;
    unsigned int mode;
    hyper at_us;
    hyper good_until_us;
    ms_snap_body *body;
    unsigned hyper journal_serial;
    opaque journal<MS_JOURNAL_LEN>;
};

struct ms_ok {
    bool ok;
    string text<383>;
};

/* EXPLAIN: key=value words, for example "service=index-desk zone=atl-1" or
 * "target=ledger-3".  STATUS: empty, or "counters". */
struct ms_query {
    string text<383>;
};

struct ms_text {
    string text<MS_TEXT_LEN>;
};

program MIMOSA_CTL {
    version MIMOSA_CTL_V1 {
        ms_heartbeat_res MS_HEARTBEAT(ms_heartbeat) = 1;
        ms_digest_res MS_DIGEST(ms_digest) = 2;
        ms_config MS_GET_CONFIG(ms_get_config) = 3;
        ms_roster MS_GET_ROSTER(ms_get_roster) = 4;
        ms_snapshot_res MS_SNAPSHOT(ms_snapshot) = 5;
        ms_ok MS_REPORT(ms_report) = 6;
        ms_ok MS_ADD_MEMBER(ms_vm) = 7;
        ms_text MS_STATUS(ms_query) = 8;
        ms_text MS_EXPLAIN(ms_query) = 9;
    } = 1;
} = 0x20004D53;
