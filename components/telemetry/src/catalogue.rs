use log::Level;

use crate::Event;

macro_rules! events {
    ($($constant:ident = $number:literal, $level:ident, $name:literal, $meaning:literal, $action:literal;)*) => {
        $(
            #[doc = concat!("Event ", $number, ": ", $meaning)]
            pub const $constant: Event = Event {
                number: $number,
                level: Level::$level,
                name: $name,
                meaning: $meaning,
                action: $action,
            };
        )*

        /// Every event, by number.
        pub const EVENTS: &[Event] = &[$($constant,)*];
    };
}

// The hundreds group events: 1 process, 2 membership, 3 configuration, 4 backend servers,
// 5 rights, 6 platform, 7 requests, 8 operators, 9 gateway on the platform. A number is never used
// for another event.
events! {
    STARTED = 101, Info, "started", "The process has started and listens.",
        "Nothing.";
    STOPPING = 102, Info, "stopping", "The process was asked to stop and drains.",
        "Nothing; it exits after the drain time.";
    STOPPED = 103, Info, "stopped", "The process has finished its requests and exits.",
        "Nothing.";
    SETTINGS_READ = 104, Info, "settings-read", "The settings are valid.",
        "Nothing.";
    LISTEN_FAILED = 106, Error, "listen-failed", "An address cannot be listened on.",
        "Free the address or change it in the settings.";
    CLOCK_JUMPED = 107, Warn, "clock-jumped", "The process was paused for longer than a tick.",
        "If it repeats, look for an overloaded host.";
    OPERATORS_UNSERVED = 109, Error, "operators-unserved", "The server for operators ended; this VM takes no more changes.",
        "Use another VM for changes and restart this one.";
    ADMIN_UNSERVED = 110, Warn, "admin-unserved", "A connection for metrics and health could not be accepted.",
        "If it repeats, look for a lack of file descriptors.";
    TRACES_LOST = 111, Warn, "traces-lost", "The last spans did not reach the collector.",
        "Check `traces.endpoint` and the collector.";
    PEER_JOINED = 201, Info, "peer-joined", "Another VM was seen for the first time.",
        "Nothing.";
    PEER_SUSPECT = 202, Warn, "peer-suspect", "Another VM does not answer, directly or through others.",
        "Nothing yet; look at the network if many VMs are suspect at once.";
    PEER_DEAD = 203, Warn, "peer-dead", "Another VM counts as dead; its services move to the next home.",
        "See that the VM is replaced.";
    PEER_LEFT = 204, Info, "peer-left", "Another VM said that it leaves.",
        "Nothing.";
    PEER_REFUTED = 205, Info, "peer-refuted", "Another VM that was suspect or dead is alive.",
        "If it repeats, look for a flapping link or a paused VM.";
    PEER_REJECTED = 206, Error, "peer-rejected", "Another VM did not prove that it knows the fleet secret.",
        "Compare `secrets.fleet` on both VMs; else look for an intruder.";
    MESSAGES_LOST = 207, Debug, "messages-lost", "Messages to another VM were lost; its protocols repeat them.",
        "Nothing; look at the network if a VM is suspect as well.";
    MESSAGE_SKIPPED = 208, Debug, "message-skipped", "A message of another VM is of a kind that this release does not know.",
        "Nothing while two releases run side by side.";
    CONFIG_IN_FORCE = 301, Info, "config-in-force", "A newer version of the configuration is in effect here.",
        "Nothing.";
    CONFIG_STALE = 302, Error, "config-stale", "The configuration cannot be confirmed; keyed routes are refused.",
        "Restore the network or the platform; the VM recovers by itself.";
    CONFIG_CONFIRMED = 303, Info, "config-confirmed", "The configuration is confirmed again; all routes are served.",
        "Nothing.";
    SNAPSHOT_DAMAGED = 304, Error, "snapshot-damaged", "A snapshot does not match its checksum and is skipped.",
        "Delete the object after the next snapshot was written.";
    DELTA_UNREADABLE = 305, Error, "delta-unreadable", "A change of the configuration cannot be read by this release.",
        "Update this VM.";
    CONFIG_UNREAD = 306, Warn, "config-unread", "The newest configuration could not be read; it is tried again.",
        "If it lasts, restore the platform.";
    HEAD_UNREAD = 307, Debug, "head-unread", "The version of the newest configuration could not be read; it is tried again.",
        "Nothing; event 601 tells of a platform that is away.";
    SNAPSHOT_UNWRITTEN = 308, Warn, "snapshot-unwritten", "A snapshot of the configuration was not written.",
        "Check the object store; starting VMs read more changes until the next snapshot.";
    BACKEND_SUSPECTED = 401, Warn, "backend-suspected", "A backend server is suspect and used last.",
        "Nothing yet.";
    BACKEND_EJECTED = 402, Warn, "backend-ejected", "A backend server is ejected.",
        "Look at the backend server; its health check may still pass.";
    BACKEND_RESTORED = 403, Info, "backend-restored", "A backend server takes work again.",
        "If trials show that the ejection was false, report it.";
    CONNECTION_SILENT = 406, Warn, "connection-silent", "A connection went silent while others work, and was dropped.",
        "Nothing; look at the network if it repeats.";
    BACKEND_DRAINING = 407, Info, "backend-draining", "A backend server leaves and gets no new work.",
        "Nothing.";
    RIGHTS_CLAIMED = 501, Info, "rights-claimed", "This VM holds more units of a right.",
        "Nothing.";
    RIGHTS_LOST = 502, Warn, "rights-lost", "This VM lost units of a right because its session ended.",
        "If the platform was reachable, look for a paused VM.";
    RIGHTS_RETURNED = 503, Info, "rights-returned", "This VM gave units of a right back.",
        "Nothing.";
    SESSION_AT_RISK = 504, Error, "session-at-risk", "The session was not renewed for most of its lease.",
        "Restore the platform before the lease ends.";
    SESSION_UNRENEWED = 505, Warn, "session-unrenewed", "The session was not renewed; it is tried again.",
        "Restore the platform if event 504 follows.";
    RIGHTS_UNCHANGED = 506, Debug, "rights-unchanged", "Units of a right were not claimed or returned yet; it is tried again.",
        "Nothing; event 601 tells of a platform that is away.";
    RIGHTS_KEPT = 507, Warn, "rights-kept", "This VM stops without having returned its units; they are unusable until its session ends.",
        "Nothing; let the platform answer before more VMs are stopped.";
    STORE_AWAY = 601, Error, "store-away", "The platform's table cannot be reached.",
        "Restore the platform; the fleet goes on with what it holds.";
    STORE_BACK = 602, Info, "store-back", "The platform's table answers again.",
        "Nothing.";
    STORE_REPLY_LOST = 603, Warn, "store-reply-lost", "A write to the table has an unknown result and is read back.",
        "Nothing; look at the network if it repeats.";
    STORE_THROTTLED = 604, Warn, "store-throttled", "The platform refused a call over its budget.",
        "If it lasts, find which VMs call too often.";
    STORE_GARBLED = 605, Error, "store-garbled", "The platform's answer cannot be read.",
        "Check `platform.address` and the platform's version.";
    VM_LIST_UNREAD = 606, Debug, "vm-list-unread", "The platform's list of VMs could not be read or written; it is tried again.",
        "Nothing; the VMs find each other without it once they are started.";
    CRASH_REFUSED = 702, Error, "crash-refused", "A request crashed two backend servers and is refused.",
        "Tell the organisation; repair the fault that the request meets.";
    WITHDRAWN_KEY_USED = 703, Warn, "withdrawn-key-used", "A request came with a withdrawn key and was refused.",
        "Tell the organisation if it goes on.";
    KEY_TABLE_FULL = 704, Error, "key-table-full", "No more idempotency keys can be kept; such requests are refused.",
        "Add VMs, or find the caller that makes too many keys.";
    LINK_BUDGET_SPENT = 705, Warn, "link-budget-spent", "The budget of the link between regions is spent.",
        "Add backend servers in the region that forwards.";
    CHANGE_ACCEPTED = 801, Info, "change-accepted", "An operator's change was accepted.",
        "Nothing.";
    CHANGE_CONFLICT = 802, Info, "change-conflict", "An operator's change was based on an older version and refused.",
        "The operator reads the newer version and decides anew.";
    CHANGE_UNCERTAIN = 803, Warn, "change-uncertain", "The result of an operator's change is not known yet.",
        "The operator repeats it with the same change id.";
    CHANGE_WITHOUT_MAJORITY = 804, Warn, "change-without-majority", "A change was refused because this VM hears from half of the VMs or fewer.",
        "Repeat it on a VM in the larger part, or when the network is back.";
    CONFIG_LEARNED = 901, Info, "config-learned", "A newer configuration of the platform is in force here.",
        "Nothing; `source` says from whom it came.";
    CONFIG_REFUSED = 902, Error, "config-refused", "A configuration of the platform cannot be used and is skipped as a whole.",
        "Correct the configuration; the one before stays in force.";
    BACKEND_LISTED = 903, Info, "backend-listed", "A backend server came, started again or is leaving.",
        "Nothing.";
    BACKEND_GONE = 904, Info, "backend-gone", "A backend server is no longer listed and gets no more work.",
        "Nothing, if it was stopped.";
    BACKEND_REPLACED = 905, Warn, "backend-replaced", "Another backend server answers at the address of this one.",
        "Nothing; the request was not run and went elsewhere.";
    BACKEND_DIED = 906, Warn, "backend-died", "A backend server broke a connection and accepts no other; the request is remembered.",
        "Look at the backend server; see event 702 if the same request does it again.";
    ENTRY_UNREADABLE = 907, Warn, "entry-unreadable", "A row in the table of backend servers names none that can be used.",
        "Find who wrote it.";
    WATCH_LOST = 911, Warn, "watch-lost", "A watch of the store failed; what is known stays in use.",
        "Restore the platform if it lasts; other VMs of the failure domain watch meanwhile.";
    WATCH_BACK = 912, Info, "watch-back", "A watch of the store works again.",
        "Nothing.";
    WATCH_REREAD = 913, Info, "watch-reread", "The store has dropped the history of a watch; the table is read anew.",
        "Nothing.";
    VM_LISTED = 914, Info, "vm-listed", "This VM is in the platform's table of VMs.",
        "Nothing.";
    VM_UNLISTED = 915, Warn, "vm-unlisted", "This VM could not enter itself into the platform's table; it is tried again.",
        "Nothing; other VMs are found through the seeds meanwhile.";
    HOME_TAKEN = 921, Info, "home-taken", "This VM serves the callers of its failure domain from now on.",
        "Nothing; if it repeats, look for VMs that stop or freeze.";
    HOME_LEFT = 922, Info, "home-left", "Another VM serves the callers of this failure domain.",
        "Nothing.";
    KNOWLEDGE_PULLED = 923, Info, "knowledge-pulled", "This VM took newer knowledge from another VM.",
        "Nothing.";
    KNOWLEDGE_UNPULLED = 924, Warn, "knowledge-unpulled", "Newer knowledge could not be taken from another VM.",
        "Nothing; it is tried again with the next beat.";
    DATAGRAM_DROPPED = 925, Warn, "datagram-dropped", "A message of another VM cannot be read.",
        "Nothing while two releases run side by side; else find its sender.";
    DATAGRAM_UNSENT = 926, Debug, "datagram-unsent", "A message to another VM could not be sent; the next one replaces it.",
        "Nothing.";
    SETTINGS_RELOADED = 927, Info, "settings-reloaded", "The platform's settings file has changed and is in effect.",
        "Nothing.";
    SETTINGS_REFUSED = 928, Error, "settings-refused", "The platform's settings file cannot be used; the one before stays in effect.",
        "Correct the file.";
    ACCEPT_FAILED = 929, Warn, "accept-failed", "A connection could not be accepted.",
        "If it repeats, look for a lack of file descriptors.";
    REQUEST_SERVED = 931, Info, "request-served", "A request was answered by a backend server; one in 64 is logged.",
        "Nothing.";
    REQUEST_FAILED = 932, Warn, "request-failed", "A backend server's answer that is no success was passed on.",
        "Follow the request id through events 934 to 937.";
    REQUEST_REFUSED = 933, Warn, "request-refused", "The gateway answered a request itself.",
        "`kind` and `cause` say why; `outcome` whether it may have run.";
    ATTEMPT_FAILED = 934, Warn, "attempt-failed", "An attempt at a backend server gave no success.",
        "`gray` is the belief about the backend server after it.";
    ATTEMPT_JUDGED = 935, Info, "attempt-judged", "What a failed attempt means for its request.",
        "Nothing.";
    ATTEMPT_OVERDUE = 936, Info, "attempt-overdue", "An attempt takes several times its usual time.",
        "Nothing.";
    REQUEST_HEDGED = 937, Info, "request-hedged", "A second attempt runs beside an overdue one.",
        "Nothing.";
    RELAY_FOUND = 938, Warn, "relay-found", "This VM cannot connect to a backend server; requests go through another VM.",
        "Check the network between this VM and the backend server.";
    RELAY_MISSING = 939, Warn, "relay-missing", "Neither this VM nor those that it asked can connect to a backend server.",
        "Check the backend server and its network.";
    RELAY_ENDED = 940, Info, "relay-ended", "This VM can connect to a backend server directly again.",
        "Nothing.";
    CHANGES_UNFIT = 941, Warn, "changes-unfit", "Changes of the list of backend servers do not fit the list known here; the whole list is taken.",
        "Nothing, if it is rare.";
}
