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

// The first digit groups events: 1 process, 2 membership, 3 configuration, 4 backend servers,
// 5 rights, 6 platform, 7 requests, 8 operators, 9 gateway on the platform. Numbers are never
// reused for another event.
events! {
    STARTED = 101, Info, "started", "The process has started and accepts connections.",
        "Nothing.";
    STOPPING = 102, Info, "stopping", "The process was asked to stop and is draining.",
        "Nothing; it exits after the drain time.";
    STOPPED = 103, Info, "stopped", "The process has finished its requests and exits.",
        "Nothing.";
    SETTINGS_READ = 104, Info, "settings-read", "The settings are valid.",
        "Nothing.";
    LISTEN_FAILED = 106, Error, "listen-failed", "Listening on an address failed.",
        "Free the address or change it in the settings.";
    CLOCK_JUMPED = 107, Warn, "clock-jumped", "The process was paused for longer than a tick.",
        "If it repeats, check whether the host is overloaded.";
    OPERATORS_UNSERVED = 109, Error, "operators-unserved", "The operator server ended; this VM accepts no more changes.",
        "Use another VM for changes and restart this one.";
    ADMIN_UNSERVED = 110, Warn, "admin-unserved", "Accepting a connection for metrics or health checks failed.",
        "If it repeats, check whether file descriptors run out.";
    TRACES_LOST = 111, Warn, "traces-lost", "The last spans were not exported to the collector.",
        "Check `traces.endpoint` and the collector.";
    STOPPED_EARLY = 112, Warn, "stopped-early", "The grace period is over: the process exits with connections of callers open. The fields count the requests that are cut off by how far they have come.",
        "Find the requests by event 942 that precedes it.";
    PEER_JOINED = 201, Info, "peer-joined", "Another VM was seen for the first time.",
        "Nothing.";
    PEER_SUSPECT = 202, Warn, "peer-suspect", "Another VM does not respond to direct or indirect pings.",
        "Nothing yet; look at the network if many VMs are suspect at once.";
    PEER_DEAD = 203, Warn, "peer-dead", "Another VM counts as dead; its services move to the next home.",
        "Check that the VM is replaced.";
    PEER_LEFT = 204, Info, "peer-left", "Another VM announced that it is leaving.",
        "Nothing.";
    PEER_REFUTED = 205, Info, "peer-refuted", "Another VM that was suspect or dead is alive.",
        "If it repeats, check for an unstable link or a paused VM.";
    PEER_REJECTED = 206, Error, "peer-rejected", "Another VM failed to prove that it knows the fleet secret.",
        "Compare `secrets.fleet` on both VMs; if it is the same, look for an intruder.";
    MESSAGES_LOST = 207, Debug, "messages-lost", "Messages to another VM were lost; their protocols send them again.",
        "Nothing; check the network if a VM is suspect as well.";
    MESSAGE_SKIPPED = 208, Debug, "message-skipped", "A message of another VM was skipped, as this release does not know its kind or format.",
        "Nothing while two releases run side by side.";
    CONFIG_IN_FORCE = 301, Info, "config-in-force", "A newer configuration version is in force here.",
        "Nothing.";
    CONFIG_STALE = 302, Error, "config-stale", "The configuration cannot be confirmed as the newest; keyed routes are refused.",
        "Restore the network or the platform; the VM recovers by itself.";
    CONFIG_CONFIRMED = 303, Info, "config-confirmed", "The configuration is confirmed again; all routes are served.",
        "Nothing.";
    SNAPSHOT_DAMAGED = 304, Error, "snapshot-damaged", "A snapshot does not match its checksum and is skipped.",
        "Delete the object after the next snapshot has been written.";
    DELTA_UNREADABLE = 305, Error, "delta-unreadable", "This release cannot decode a change of the configuration.",
        "Upgrade this VM.";
    CONFIG_UNREAD = 306, Warn, "config-unread", "Reading the newest configuration failed; it is retried.",
        "If it persists, restore the platform.";
    HEAD_UNREAD = 307, Debug, "head-unread", "Reading the version of the newest configuration failed; it is retried.",
        "Nothing; event 601 reports an unreachable platform.";
    SNAPSHOT_UNWRITTEN = 308, Warn, "snapshot-unwritten", "Writing a snapshot of the configuration failed.",
        "Check the object store; starting VMs read more changes until the next snapshot.";
    BACKEND_SUSPECTED = 401, Warn, "backend-suspected", "A backend server is suspect and chosen last.",
        "Nothing yet.";
    BACKEND_EJECTED = 402, Warn, "backend-ejected", "A backend server was ejected.",
        "Check the backend server; its health check may still pass.";
    BACKEND_RESTORED = 403, Info, "backend-restored", "A backend server receives requests again.",
        "If trials show that the ejection was false, report it.";
    CONNECTION_SILENT = 406, Warn, "connection-silent", "A connection stopped responding while others work, and was closed.",
        "Nothing; check the network if it repeats.";
    BACKEND_DRAINING = 407, Info, "backend-draining", "A backend server is draining and gets no new requests.",
        "Nothing.";
    RIGHTS_CLAIMED = 501, Info, "rights-claimed", "This VM claimed more units of a right.",
        "Nothing.";
    RIGHTS_LOST = 502, Warn, "rights-lost", "This VM lost units of a right because its session expired.",
        "If the platform was reachable, look for a paused VM.";
    RIGHTS_RETURNED = 503, Info, "rights-returned", "This VM returned units of a right.",
        "Nothing.";
    SESSION_AT_RISK = 504, Error, "session-at-risk", "The session was not renewed for most of its lease.",
        "Restore the platform before the lease expires.";
    SESSION_UNRENEWED = 505, Warn, "session-unrenewed", "Renewing the session failed; it is retried.",
        "Restore the platform if event 504 follows.";
    RIGHTS_UNCHANGED = 506, Debug, "rights-unchanged", "Claiming or returning units of a right failed; it is retried.",
        "Nothing; event 601 reports an unreachable platform.";
    RIGHTS_KEPT = 507, Warn, "rights-kept", "This VM stops without having returned its units; they are unusable until its session expires.",
        "Nothing; wait until the platform responds before stopping more VMs.";
    STORE_AWAY = 601, Error, "store-away", "The platform's table cannot be reached.",
        "Restore the platform; the fleet continues with the state that it holds.";
    STORE_BACK = 602, Info, "store-back", "The platform's table responds again.",
        "Nothing.";
    STORE_REPLY_LOST = 603, Warn, "store-reply-lost", "The result of a write to the table is unknown; the row is read back.",
        "Nothing; check the network if it repeats.";
    STORE_THROTTLED = 604, Warn, "store-throttled", "The platform rejected a call over its budget.",
        "If it persists, find the VMs that call too often.";
    STORE_GARBLED = 605, Error, "store-garbled", "A response of the platform cannot be decoded.",
        "Check `platform.address` and the platform's version.";
    VM_LIST_UNREAD = 606, Debug, "vm-list-unread", "Reading or writing the platform's list of VMs failed; it is retried.",
        "Nothing; running VMs find each other without it.";
    CRASH_REFUSED = 702, Error, "crash-refused", "A request crashed two backend servers and is refused.",
        "Tell the organisation; fix the fault that the request triggers.";
    WITHDRAWN_KEY_USED = 703, Warn, "withdrawn-key-used", "A request with a withdrawn key was refused.",
        "Tell the organisation if it continues.";
    KEY_TABLE_FULL = 704, Error, "key-table-full", "The table of idempotency keys is full; requests with new keys are refused.",
        "Add VMs, or find the caller that creates too many keys.";
    LINK_BUDGET_SPENT = 705, Warn, "link-budget-spent", "The budget of the link between regions is used up.",
        "Add backend servers in the region that forwards.";
    REQUEST_CUT = 706, Warn, "request-cut", "A stopping VM has answered a request with 503 before it had a response; `outcome` says whether it may have run.",
        "Raise `finish_ms` if requests may take longer.";
    CHANGE_ACCEPTED = 801, Info, "change-accepted", "An operator's change was accepted.",
        "Nothing.";
    CHANGE_CONFLICT = 802, Info, "change-conflict", "An operator's change was rejected, as it was based on an older version.",
        "The operator reads the newer version and decides again.";
    CHANGE_UNCERTAIN = 803, Warn, "change-uncertain", "The result of an operator's change is not known yet.",
        "The operator repeats it with the same change id.";
    CHANGE_WITHOUT_MAJORITY = 804, Warn, "change-without-majority", "A change was rejected because this VM hears from half of the VMs or fewer.",
        "Repeat it on a VM in the larger part, or after the network has recovered.";
    CONFIG_LEARNED = 901, Info, "config-learned", "A newer configuration of the platform is in force here.",
        "Nothing; `source` names where it came from.";
    CONFIG_REFUSED = 902, Error, "config-refused", "A configuration of the platform is invalid and was skipped as a whole.",
        "Correct the configuration; the previous one stays in force.";
    BACKEND_LISTED = 903, Info, "backend-listed", "A backend server was added, was restarted or is leaving.",
        "Nothing.";
    BACKEND_GONE = 904, Info, "backend-gone", "A backend server is no longer listed and gets no more requests.",
        "Nothing, if it was stopped.";
    BACKEND_REPLACED = 905, Warn, "backend-replaced", "A different backend server responds at the address of this one.",
        "Nothing; the request was not executed there and went elsewhere.";
    BACKEND_DIED = 906, Warn, "backend-died", "A backend server closed a connection and accepts no new one; the request is recorded as a crash suspect.",
        "Check the backend server; see event 702 if the same request crashes another one.";
    ENTRY_UNREADABLE = 907, Warn, "entry-unreadable", "A row in the table of backend servers is invalid.",
        "Find its writer.";
    BACKEND_LEAVING = 908, Info, "backend-leaving", "A backend server says in its responses that it is leaving; it gets no new requests.",
        "Nothing, if it is being stopped.";
    BACKEND_PAUSED = 909, Warn, "backend-paused", "A backend server turned a request away and asked for a pause; it gets no requests until then.",
        "Add backend servers to the service if it repeats.";
    WATCH_LOST = 911, Warn, "watch-lost", "A watch of the store failed; the cached state stays in use.",
        "Restore the platform if it persists; other VMs of the failure domain watch meanwhile.";
    WATCH_BACK = 912, Info, "watch-back", "A watch of the store works again.",
        "Nothing.";
    WATCH_REREAD = 913, Info, "watch-reread", "The store has truncated the history of a watch; the table is read again.",
        "Nothing.";
    VM_LISTED = 914, Info, "vm-listed", "This VM is registered in the platform's table of VMs.",
        "Nothing.";
    VM_UNLISTED = 915, Warn, "vm-unlisted", "Registering this VM in the platform's table failed; it is retried.",
        "Nothing; other VMs are found through the seeds meanwhile.";
    HOME_TAKEN = 921, Info, "home-taken", "This VM is now the leader of its failure domain and serves its callers.",
        "Nothing; if it repeats, look for VMs that stop or pause.";
    HOME_LEFT = 922, Info, "home-left", "Another VM is now the leader of this failure domain.",
        "Nothing.";
    KNOWLEDGE_PULLED = 923, Info, "knowledge-pulled", "This VM loaded newer cached state of the store from another VM.",
        "Nothing.";
    KNOWLEDGE_UNPULLED = 924, Warn, "knowledge-unpulled", "Loading newer cached state of the store from another VM failed.",
        "Nothing; it is retried with the next heartbeat.";
    DATAGRAM_DROPPED = 925, Warn, "datagram-dropped", "A message of another VM cannot be decoded.",
        "Nothing while two releases run side by side; else find its sender.";
    DATAGRAM_UNSENT = 926, Debug, "datagram-unsent", "Sending a message to another VM failed; the next one replaces it.",
        "Nothing.";
    SETTINGS_RELOADED = 927, Info, "settings-reloaded", "The platform's settings file has changed and was reloaded.",
        "Nothing.";
    SETTINGS_REFUSED = 928, Error, "settings-refused", "The platform's settings file is invalid; the previous settings stay in effect.",
        "Correct the file.";
    ACCEPT_FAILED = 929, Warn, "accept-failed", "Accepting a connection failed.",
        "If it repeats, check whether file descriptors run out.";
    REQUEST_SERVED = 931, Info, "request-served", "A successful response of a backend server was passed on; one in 64 is logged.",
        "Nothing.";
    REQUEST_FAILED = 932, Warn, "request-failed", "An unsuccessful response of a backend server was passed on.",
        "Follow the request id through events 934 to 937.";
    REQUEST_REFUSED = 933, Warn, "request-refused", "The gateway responded to a request itself.",
        "`kind` and `cause` give the reason, `outcome` whether it may have been executed.";
    ATTEMPT_FAILED = 934, Warn, "attempt-failed", "An attempt at a backend server was not successful.",
        "`gray` is the probability afterwards that the backend server has a gray failure.";
    ATTEMPT_JUDGED = 935, Info, "attempt-judged", "Consequence of a failed attempt for its request.",
        "Nothing.";
    ATTEMPT_OVERDUE = 936, Info, "attempt-overdue", "An attempt takes several times its expected time.",
        "Nothing.";
    REQUEST_HEDGED = 937, Info, "request-hedged", "A second attempt was started while the first one is overdue.",
        "Nothing.";
    RELAY_FOUND = 938, Warn, "relay-found", "This VM cannot connect to a backend server; requests are relayed by another VM.",
        "Check the network between this VM and the backend server.";
    RELAY_MISSING = 939, Warn, "relay-missing", "Neither this VM nor those that it asked can connect to a backend server.",
        "Check the backend server and its network.";
    RELAY_ENDED = 940, Info, "relay-ended", "This VM can connect to a backend server directly again.",
        "Nothing.";
    CHANGES_UNFIT = 941, Warn, "changes-unfit", "Changes of the backend server list do not apply to the list held here; the whole list is read.",
        "Nothing, if it is rare.";
    REQUEST_UNFINISHED = 942, Warn, "request-unfinished", "The process ends before a request has a response of a backend server.",
        "`stage` says how far it has come: `read`, `waiting` for a backend server, or `sent` to `backend`, which may have run it.";
    CONNECTION_ENDED = 943, Info, "connection-ended", "A connection of a caller has ended while the process stops, with a response to each request that was read.",
        "Nothing.";
    CONNECTION_CUT = 944, Warn, "connection-cut", "This VM has ended a connection on which a request was unanswered, bytes were unread, or a response was not sent whole.",
        "`end` says why. Compare `parsed`, `passed_on` (sent to a backend server) and `responded`; `unread_bytes` may hold requests that were not looked at, `blocked` means that the caller does not read its response.";
    KNOWLEDGE_HEARD = 951, Info, "knowledge-heard", "Another VM has announced a newer configuration than the one in force here.",
        "Nothing; event 923 or 901 with this version follows.";
    KNOWLEDGE_BUSY = 952, Info, "knowledge-busy", "A VM sends much data to as many VMs as it can; another one is asked.",
        "Nothing, while event 923 follows.";
    PATCH_FAILED = 953, Warn, "patch-failed", "The difference to the previous configuration could not be computed; other VMs pull the whole one.",
        "Report it.";
    PATCH_UNFIT = 954, Warn, "patch-unfit", "The difference that another VM sent does not lead from the configuration in force here; the whole one is pulled.",
        "Nothing, if it is rare.";
    WATCH_BEGUN = 955, Info, "watch-begun", "This VM begins to read the store itself.",
        "Nothing; `reason` says why.";
    BACKEND_LIMITED = 956, Warn, "backend-limited", "A backend server has named in a response the requests per second that it takes from all VMs together, or another number than before; `source` is `response`, or the VM that told this one.",
        "Add backend servers to the service if it lasts.";
    LIMIT_ENDED = 957, Info, "limit-ended", "A backend server no longer names a request limit.",
        "Nothing.";
    LIMITED_LOAD = 958, Info, "limited-load", "Requests that this VM has sent to a backend server with a request limit and permits for it that it has given to others, about every 4 s; nothing is logged if it did neither and does not own the limit.",
        "`rate` is what the owner sends and gives leave for; the sum of `sent` over all VMs stays below it.";
    LIMIT_UNREADABLE = 959, Warn, "limit-unreadable", "The request limit that a backend server names is no number of requests per second; what is known of it stays in force.",
        "Correct the backend server.";
    STORE_RESTORED = 960, Warn, "store-restored", "The store has come back from an older copy; its list of backend servers was read again.",
        "Nothing. Of `rows`, `outdated` are older than what is known here and wait to be written again; `missing` ones stay in use for two seconds.";
}
