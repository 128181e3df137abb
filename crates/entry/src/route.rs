//! Selection of the route that serves a path.

use bytes::Bytes;
use conf::tree;
use wire::request;

/// Path of chat completions, the one call of model routes.
pub const CHAT_COMPLETIONS: &[u8] = b"/v1/chat/completions";

/// Returns the route for a path with query. A model route needs the `model` of the body;
/// of service routes the longest path prefix wins.
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
    if route.path.is_empty() { CHAT_COMPLETIONS } else { &route.path }
}

/// Returns whether `prefix` covers whole segments of `path`.
fn is_prefix(prefix: &[u8], path: &[u8]) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    !prefix.is_empty() && (rest.is_empty() || rest[0] == b'/' || prefix.ends_with(b"/"))
}
