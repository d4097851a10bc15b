//! Authentication of callers, and authorization of requests, which can be revoked while they run.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use tokio::sync::watch;

use crate::code::ResultCode;
use crate::ids::WorkspaceId;
use crate::key;
use crate::key::KeySecret;
use crate::rules::KeyHash;
use crate::rules::Route;
use crate::rules::Scope;
use crate::view::View;

/// Latest view, or `None` if it has expired.
pub type ViewState = Option<Arc<View>>;

/// Caller that presented a valid key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceId,
    hash: KeyHash,
}

/// Returns the caller that the `Authorization` header identifies, or `None` if there is no header.
pub fn authenticate(
    view: &View,
    secret: &KeySecret,
    headers: &HeaderMap,
) -> Result<Option<Caller>, ResultCode> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(None);
    };
    let (scheme, token) = value
        .to_str()
        .ok()
        .and_then(|text| text.split_once(' '))
        .ok_or(ResultCode::InvalidKey)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(ResultCode::InvalidKey);
    }
    let key = key::authenticate(view, secret, token.trim()).ok_or(ResultCode::InvalidKey)?;
    Ok(Some(Caller {
        workspace: key.workspace.clone(),
        hash: key.hash,
    }))
}

/// Authorization under which a request runs.
#[derive(Debug)]
pub struct Grant {
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceId,
    key: Option<KeyHash>,
    views: watch::Receiver<ViewState>,
}

impl Grant {
    /// Authorizes a caller to use a route.
    ///
    /// The subscription `views` must be older than the view that authenticated the caller, so that
    /// no revocation in between is missed.
    pub fn new(
        route: &Route,
        caller: Option<&Caller>,
        views: watch::Receiver<ViewState>,
    ) -> Result<Self, ResultCode> {
        let (workspace, key) = match (&route.scope, caller) {
            (Scope::Open(owner), _) => (owner.clone(), None),
            (_, Some(caller)) => (caller.workspace.clone(), Some(caller.hash)),
            (_, None) => return Err(ResultCode::InvalidKey),
        };
        Ok(Self {
            workspace,
            key,
            views,
        })
    }

    /// Waits until the grant ends and returns the reason; a grant for an open route never ends.
    pub async fn ended(&mut self) -> ResultCode {
        let Some(hash) = self.key else {
            return std::future::pending().await;
        };
        loop {
            if self.views.changed().await.is_err() {
                return ResultCode::ViewExpired;
            }
            let view = self.views.borrow_and_update();
            if let Err(code) = check(view.as_deref(), &hash, &self.workspace) {
                return code;
            }
        }
    }

    /// Checks whether the grant is valid under a view.
    pub fn check(&self, view: Option<&View>) -> Result<(), ResultCode> {
        match &self.key {
            Some(hash) => check(view, hash, &self.workspace),
            None => Ok(()),
        }
    }
}

fn check(view: Option<&View>, hash: &KeyHash, workspace: &WorkspaceId) -> Result<(), ResultCode> {
    let view = view.ok_or(ResultCode::ViewExpired)?;
    let key = view.key(hash).ok_or(ResultCode::KeyWithdrawn)?;
    if key.workspace != *workspace {
        return Err(ResultCode::KeyWithdrawn);
    }
    Ok(())
}
