//! Selection of the route that serves a path.

use bytes::Bytes;
use wire::request;

use crate::tree;

pub use crate::tree::CHAT_PATH;

/// Returns the route for a path, whose query is ignored. A model route must also match the `model`
/// of the body and takes precedence over service routes; among routes of one kind, the one with
/// the longest path prefix is chosen.
pub fn find<'a>(
    tree: &'a tree::Tree,
    path: &[u8],
    model: &[u8],
) -> Option<(&'a Bytes, &'a tree::Route)> {
    let path = path.split(|&byte| byte == b'?').next().unwrap_or(path);
    tree.routes
        .iter()
        .filter(|(_, route)| match route.kind {
            request::Kind::Model => is_prefix(model_path(route), path) && route.model == model,
            request::Kind::Service => is_prefix(&route.path, path),
        })
        .max_by_key(|(_, route)| (route.kind == request::Kind::Model, route.path.len()))
}

fn model_path(route: &tree::Route) -> &[u8] {
    if route.path.is_empty() { CHAT_PATH } else { &route.path }
}

/// Returns whether `prefix` covers whole segments of `path`.
fn is_prefix(prefix: &[u8], path: &[u8]) -> bool {
    let Some(remainder) = path.strip_prefix(prefix) else { return false };
    !prefix.is_empty() && (remainder.is_empty() || remainder[0] == b'/' || prefix.ends_with(b"/"))
}
