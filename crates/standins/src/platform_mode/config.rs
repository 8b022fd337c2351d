//! Configurations in the format that operators write.

use serde_json::{Value, json};

/// Builds a route to one service.
#[must_use]
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "hostname": "h.example", "path_prefix": format!("/{name}/"),
        "route_kind": kind, "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1,
        "service": service, "attempts": 2,
    })
}

/// Builds a configuration with a search over `shards`, a read and an order route to `service`, and
/// `extra_routes`.
#[must_use]
pub fn spec(version: u64, shards: &[&str], service: &str, extra_routes: Vec<Value>) -> Value {
    let mut search = route("search", "idempotent", service);
    search["service"] = Value::Null;
    search["gather"] = json!(shards);
    search["top_k"] = json!(3);
    search["min_shard_fraction"] = json!(0.5);
    let mut routes = vec![
        search,
        route("read", "idempotent", service),
        route("order", "non_idempotent", service),
    ];
    routes.extend(extra_routes);
    let services: Vec<Value> = shards
        .iter()
        .chain([&service])
        .map(|it| json!({ "name": it, "max_connections": 40, "health_check_path": "/health" }))
        .collect();
    let limits = json!({
        "max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    });
    json!({ "version": version, "routes": routes, "services": services, "limits": limits })
}
