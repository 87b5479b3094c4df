//! Problem responses to requests that are refused.

use std::fmt::Display;

use gotham::handler::IntoResponse;
use gotham::state::State;
use http::{Response, StatusCode};
use serde::Serialize;
use vg_base::prelude::*;
use vg_net::{Body, full_body};

use crate::headers;

/// An `application/problem+json` response to a request that was not run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Problem {
    status: u16,
    code: &'static str,
    outcome: Outcome,
    detail: String,
}

impl Problem {
    /// Creates a problem with the outcome `not-run`.
    pub(crate) fn new(status: StatusCode, code: &'static str, detail: impl Display) -> Problem {
        let detail = detail.to_string();
        Problem { status: status.as_u16(), code, outcome: Outcome::NotRun, detail }
    }
}

impl IntoResponse for Problem {
    fn into_response(self, _: &State) -> Response<Body> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(full_body(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let fields = response.headers_mut();
        fields.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/problem+json"),
        );
        fields.insert(headers::OUTCOME, http::HeaderValue::from_static("not-run"));
        response
    }
}
