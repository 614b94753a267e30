//! Finding a route by path and method.

use config::{Change, Lookup, apply};

use crate::common::{example, route, set};

/// Guards against a request that reaches the wrong service because a shorter prefix, a part of a
/// segment, or a route for other methods matches.
#[test]
fn longest_prefix_of_whole_segments_wins() {
    let mut all = route("/", "stock");
    all.methods.clear();
    let mut write = route("/stock", "stock");
    write.methods = vec!["PUT".into(), "POST".into()];
    let changes = vec![
        Change::PutRoute { id: "all".into(), route: all },
        Change::PutRoute { id: "write".into(), route: write },
        Change::PutRoute { id: "deep".into(), route: route("/stock/a/b/", "stock") },
    ];
    let config = apply(&example(), &set(1, "c", changes)).unwrap().0;
    let lookup = Lookup::new(config.into());
    let find = |method, path| lookup.find_route(method, path).map(|found| found.id);
    assert_eq!(find("GET", "/stock"), Some("read"));
    assert_eq!(find("POST", "/stock/x"), Some("write"));
    assert_eq!(find("DELETE", "/stock/x"), Some("all"));
    assert_eq!(find("GET", "/stocks"), Some("all"));
    assert_eq!(find("GET", "/stock/a/b"), Some("deep"));
    assert_eq!(find("GET", "/stock/a/b/c/"), Some("deep"));
    assert_eq!(find("PUT", "/stock/a/b/c"), Some("write"));
    assert_eq!(find("GET", "/"), Some("all"));
    let lookup = Lookup::new(example().into());
    assert_eq!(lookup.find_route("GET", "/other").map(|found| found.id), None);
}
