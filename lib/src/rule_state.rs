//! Replicated rules: the present view, the recent changes, and the answers to change ids.
//!
//! A change names the version it was made against, so of several changes against the same version
//! exactly one is accepted. The answer is kept with the change id, so a resend gets it again.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::code::ResultCode;
use crate::command::Change;
use crate::command::Reply;
use crate::command::Timestamp;
use crate::command::document_edit;
use crate::ids::ChangeId;
use crate::rules::Document;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::view::Edit;
use crate::view::Version;
use crate::view::View;
use crate::view::ViewError;

/// Most changes kept for deltas; an instance further behind gets all rules.
pub const MAX_CHANGES: usize = 4096;

/// Most bytes of kept changes, by [`CommittedChange::weight`].
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Most answers to change ids; two days of changes at the target size.
///
/// A resend that comes later still cannot be applied twice, because its expected version is old.
pub const MAX_REPLIES: usize = 65_536;

/// Longest change id and author in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Longest stored message of a refused change in bytes.
const MAX_MESSAGE_BYTES: usize = 512;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedChange {
    /// The version that the change led to.
    pub version: Version,
    /// The submission.
    pub id: ChangeId,
    /// Who submitted it.
    pub author: String,
    /// When the leader accepted it.
    pub at: Timestamp,
    /// The steps.
    pub edits: Vec<Edit>,
}

impl CommittedChange {
    /// Returns the view after this change of the view before it.
    pub fn apply(&self, view: &View) -> Result<Arc<View>, ViewError> {
        apply_edits(view, &self.edits, self.version)
    }

    /// Returns the approximate size in memory in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(edit_bytes).sum();
        size_of::<Self>() + self.id.as_str().len() + self.author.len() + edits
    }
}

/// Returns the approximate size of an edit in memory in bytes.
pub(crate) fn edit_bytes(edit: &Edit) -> usize {
    let text = match edit {
        Edit::Set(Rule {
            body: RuleBody::Document(document),
            ..
        }) => document.text.len(),
        // The parsed body repeats most words of the line.
        Edit::Set(rule) => 2 * rule.line.len() + rule.asker.len() + rule.key.name.len(),
        Edit::Remove(key) => key.name.len(),
    };
    size_of::<Edit>() + text
}

fn apply_edits(view: &View, edits: &[Edit], version: Version) -> Result<Arc<View>, ViewError> {
    let mut transaction = view.transaction();
    for edit in edits {
        transaction.edit(edit)?;
    }
    transaction.commit_with_version(version)
}

/// The answer to a change id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordedReply {
    /// Hash of the content, to refuse another change under the same id.
    content: u64,
    reply: Reply,
}

/// The replicated rules.
#[derive(Clone, Debug, Default)]
pub struct RuleState {
    view: Arc<View>,
    changes: VecDeque<CommittedChange>,
    change_bytes: usize,
    replies: BTreeMap<ChangeId, RecordedReply>,
    /// Change ids in the order of their answers, the oldest first.
    reply_order: VecDeque<ChangeId>,
}

/// The borrowed form of [`RuleSnapshot`], so that writing a snapshot does not copy the rules.
#[derive(Debug, Serialize)]
pub struct RuleSnapshotRef<'a> {
    version: Version,
    rules: Vec<&'a Rule>,
    changes: &'a VecDeque<CommittedChange>,
    replies: Vec<(&'a ChangeId, &'a RecordedReply)>,
}

/// The rules as stored in a snapshot.
#[derive(Debug, Deserialize)]
pub struct RuleSnapshot {
    version: Version,
    rules: Vec<Rule>,
    changes: VecDeque<CommittedChange>,
    replies: Vec<(ChangeId, RecordedReply)>,
}

impl RuleState {
    /// Returns the present view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the kept changes, the oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &CommittedChange> {
        self.changes.iter()
    }

    /// Returns the changes after `version`, or nothing if they are no longer kept.
    pub fn changes_since(&self, version: Version) -> Option<Vec<CommittedChange>> {
        let missing = self.view.version().0.checked_sub(version.0)?;
        let missing = usize::try_from(missing).ok()?;
        let start = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(start..).cloned().collect())
    }

    /// Applies a change, or repeats the answer to an earlier submission.
    pub fn apply(&mut self, at: Timestamp, change: &Change) -> Reply {
        if change.id.as_str().len() > MAX_NAME_BYTES || change.author.len() > MAX_NAME_BYTES {
            return refused(ResultCode::BadRequest, "change id or author is too long");
        }
        let content = content_hash(change);
        if let Some(recorded) = self.replies.get(&change.id) {
            if recorded.content == content {
                return recorded.reply.clone();
            }
            return refused(ResultCode::ChangeIdReused, change.id.as_str());
        }
        let reply = self.decide(at, change);
        self.record_reply(change.id.clone(), content, &reply);
        reply
    }

    fn decide(&mut self, at: Timestamp, change: &Change) -> Reply {
        let current = self.view.version();
        if change.expected != current {
            let message = format!("expected {}, current {current}", change.expected);
            return refused(ResultCode::VersionConflict, &message);
        }
        let version = Version(current.0 + 1);
        match apply_edits(&self.view, &change.edits, version) {
            Ok(view) => self.view = view,
            Err(error) => return refused(ResultCode::InvalidRules, &error.to_string()),
        }
        self.push_change(CommittedChange {
            version,
            id: change.id.clone(),
            author: change.author.clone(),
            at,
            edits: change.edits.clone(),
        });
        Reply::Applied { version }
    }

    /// Returns the configuration document.
    pub fn document(&self) -> Option<Document> {
        self.view.document().map(|document| (**document).clone())
    }

    /// Puts a document of a higher revision in place of the held one.
    ///
    /// The reply is the same whether the document took effect or not: the sender learns that this or
    /// a higher revision is in place. Earlier changes are no longer kept as deltas, because documents
    /// are large and each replaces the one before.
    pub fn replace_document(&mut self, document: &Document) -> Reply {
        let current = self.view.version();
        let held = self.view.document();
        if held.is_some_and(|held| held.revision >= document.revision) {
            return Reply::Applied { version: current };
        }
        let version = Version(current.0 + 1);
        match apply_edits(&self.view, &[document_edit(document)], version) {
            Ok(view) => self.view = view,
            Err(error) => return refused(ResultCode::InvalidRules, &error.to_string()),
        }
        self.changes.clear();
        self.change_bytes = 0;
        Reply::Applied { version }
    }

    fn push_change(&mut self, change: CommittedChange) {
        self.change_bytes += change.approximate_bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.change_bytes -= oldest.approximate_bytes();
        }
    }

    fn record_reply(&mut self, id: ChangeId, content: u64, reply: &Reply) {
        let reply = reply.clone();
        self.replies
            .insert(id.clone(), RecordedReply { content, reply });
        self.reply_order.push_back(id);
        while self.reply_order.len() > MAX_REPLIES {
            if let Some(oldest) = self.reply_order.pop_front() {
                self.replies.remove(&oldest);
            }
        }
    }

    /// Returns what a snapshot stores.
    pub fn snapshot(&self) -> RuleSnapshotRef<'_> {
        let recorded = |id| self.replies.get_key_value(id);
        RuleSnapshotRef {
            version: self.view.version(),
            rules: self.view.rules().collect(),
            changes: &self.changes,
            replies: self.reply_order.iter().filter_map(recorded).collect(),
        }
    }

    /// Rebuilds the rules from a snapshot.
    pub fn restore(snapshot: RuleSnapshot) -> Result<Self, ViewError> {
        let edits: Vec<_> = snapshot.rules.into_iter().map(Edit::Set).collect();
        Ok(Self {
            view: apply_edits(&View::default(), &edits, snapshot.version)?,
            change_bytes: snapshot
                .changes
                .iter()
                .map(CommittedChange::approximate_bytes)
                .sum(),
            changes: snapshot.changes,
            reply_order: snapshot.replies.iter().map(|(id, _)| id.clone()).collect(),
            replies: snapshot.replies.into_iter().collect(),
        })
    }
}

fn refused(code: ResultCode, message: &str) -> Reply {
    let message = message.chars().take(MAX_MESSAGE_BYTES).collect();
    Reply::Refused { code, message }
}

/// Hashes a change with SHA-256, because the hash must be the same in every release.
fn content_hash(change: &Change) -> u64 {
    let bytes = postcard::to_stdvec(change).expect("a change has a serial form");
    let digest: [u8; 32] = Sha256::digest(bytes).into();
    u64::from_le_bytes(digest[..8].try_into().expect("eight bytes"))
}
