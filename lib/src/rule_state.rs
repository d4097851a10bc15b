//! Replicated state of the rules: the current view, the recent changes, and the replies to submissions.
//!
//! A change names the version that it is based on, so of several changes based on the same version
//! exactly one is accepted. The reply is stored under the change id, so a resent change gets the same reply.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::code::ResultCode;
use crate::command::Change;
use crate::command::EvacuationOrder;
use crate::command::Reply;
use crate::command::Timestamp;
use crate::command::document_edit;
use crate::evacuation;
use crate::ids::ChangeId;
use crate::rules::Document;
use crate::rules::Rule;
use crate::rules::RuleBody;
use crate::view::Edit;
use crate::view::Version;
use crate::view::View;
use crate::view::ViewError;

/// Maximum number of changes kept for deltas; an instance that is further behind receives all rules.
pub const MAX_CHANGES: usize = 4096;

/// Maximum size of the kept changes in bytes, the sum of [`CommittedChange::approximate_bytes`].
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Maximum number of stored replies, enough for two days of changes at the target size.
///
/// A change that is resent later still cannot be applied twice, because its expected version is outdated.
pub const MAX_REPLIES: usize = 65_536;

/// Maximum length of a change id and of an author in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Author of the change that an order of an evacuation makes; such orders name no person.
const EVACUATION_AUTHOR: &str = "operator";

/// Maximum length in characters of the stored message of a rejected change.
const MAX_MESSAGE_CHARS: usize = 512;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedChange {
    /// Version of the view after the change.
    pub version: Version,
    /// Id of the submission.
    pub id: ChangeId,
    /// Who submitted it.
    pub author: String,
    /// When the leader accepted the change.
    pub at: Timestamp,
    /// Edits of the change.
    pub edits: Vec<Edit>,
}

impl CommittedChange {
    /// Applies the change to the view of the preceding version and returns the resulting view.
    pub fn apply(&self, view: &View) -> Result<Arc<View>, ViewError> {
        apply_edits(view, &self.edits, self.version)
    }

    /// Returns the approximate memory usage in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let edits: usize = self.edits.iter().map(edit_bytes).sum();
        size_of::<Self>() + self.id.as_str().len() + self.author.len() + edits
    }
}

/// Returns the approximate memory usage of an edit in bytes.
pub(crate) fn edit_bytes(edit: &Edit) -> usize {
    let text = match edit {
        Edit::Set(Rule {
            body: RuleBody::Document(document),
            ..
        }) => document.text.len(),
        // The parsed body takes about as much memory as the line.
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

/// The stored reply to a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordedReply {
    /// Hash of the change, to reject a different change with the same id.
    content: u64,
    reply: Reply,
}

/// Replicated state of the rules.
#[derive(Clone, Debug, Default)]
pub struct RuleState {
    view: Arc<View>,
    changes: VecDeque<CommittedChange>,
    /// Approximate memory usage of `changes` in bytes.
    change_bytes: usize,
    replies: BTreeMap<ChangeId, RecordedReply>,
    /// Change ids in the order of their replies, oldest first.
    reply_order: VecDeque<ChangeId>,
}

/// Borrowed form of [`RuleSnapshot`], which allows writing a snapshot without copying the rules.
#[derive(Debug, Serialize)]
pub struct RuleSnapshotRef<'a> {
    version: Version,
    rules: Vec<&'a Rule>,
    changes: &'a VecDeque<CommittedChange>,
    replies: Vec<(&'a ChangeId, &'a RecordedReply)>,
}

/// State of the rules as stored in a snapshot.
#[derive(Debug, Deserialize)]
pub struct RuleSnapshot {
    version: Version,
    rules: Vec<Rule>,
    changes: VecDeque<CommittedChange>,
    replies: Vec<(ChangeId, RecordedReply)>,
}

impl RuleState {
    /// Returns the current view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the kept changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &CommittedChange> {
        self.changes.iter()
    }

    /// Returns the changes after `version`, or `None` if they are no longer kept.
    pub fn changes_since(&self, version: Version) -> Option<Vec<CommittedChange>> {
        let missing = self.view.version().0.checked_sub(version.0)?;
        let missing = usize::try_from(missing).ok()?;
        let start = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(start..).cloned().collect())
    }

    /// Applies a change, or returns the stored reply if it was submitted before.
    pub fn apply(&mut self, at: Timestamp, change: &Change) -> Reply {
        if change.id.as_str().len() > MAX_NAME_BYTES || change.author.len() > MAX_NAME_BYTES {
            return refused(ResultCode::BadRequest, "change id or author is too long");
        }
        let content = content_hash(change);
        self.reply_once(&change.id, content, |state| state.decide(at, change))
    }

    /// Returns the stored reply to a submission, or decides it and stores the reply.
    fn reply_once(
        &mut self,
        id: &ChangeId,
        content: u64,
        decide: impl FnOnce(&mut Self) -> Reply,
    ) -> Reply {
        if let Some(recorded) = self.replies.get(id) {
            if recorded.content == content {
                return recorded.reply.clone();
            }
            return refused(ResultCode::ChangeIdReused, id.as_str());
        }
        let reply = decide(self);
        self.record_reply(id.clone(), content, &reply);
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

    /// Replaces the document if the new one has a higher revision.
    ///
    /// The reply does not tell whether the document was replaced: it confirms that this or a higher
    /// revision is stored. The kept changes are discarded, because documents are large and each replaces
    /// the previous one.
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

    /// Starts or ends the evacuation of a zone; an order that changes nothing leaves the version as it is.
    ///
    /// The order names no version: of orders that cross, the later one in the log holds.
    pub fn set_evacuation(&mut self, at: Timestamp, order: &EvacuationOrder) -> Reply {
        let content = content_hash(order);
        self.reply_once(&order.id, content, |state| {
            state.decide_evacuation(at, order)
        })
    }

    fn decide_evacuation(&mut self, at: Timestamp, order: &EvacuationOrder) -> Reply {
        let current = self.view.version();
        if self.view.evacuated_zones().contains(&order.zone) == order.is_active {
            return Reply::Applied { version: current };
        }
        let version = Version(current.0 + 1);
        let edits = vec![evacuation::edit(&order.zone, order.is_active)];
        match apply_edits(&self.view, &edits, version) {
            Ok(view) => self.view = view,
            Err(error) => return refused(ResultCode::InvalidRules, &error.to_string()),
        }
        self.push_change(CommittedChange {
            version,
            id: order.id.clone(),
            author: EVACUATION_AUTHOR.to_owned(),
            at,
            edits,
        });
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

    /// Returns the state to store in a snapshot.
    pub fn snapshot(&self) -> RuleSnapshotRef<'_> {
        let recorded = |id| self.replies.get_key_value(id);
        RuleSnapshotRef {
            version: self.view.version(),
            rules: self.view.rules().collect(),
            changes: &self.changes,
            replies: self.reply_order.iter().filter_map(recorded).collect(),
        }
    }

    /// Restores the state from a snapshot.
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
    let message = message.chars().take(MAX_MESSAGE_CHARS).collect();
    Reply::Refused { code, message }
}

/// Hashes a submission with SHA-256, because the hash must be the same in all releases.
fn content_hash(submission: &impl Serialize) -> u64 {
    let bytes = postcard::to_stdvec(submission).expect("submissions can be encoded");
    let digest: [u8; 32] = Sha256::digest(bytes).into();
    u64::from_le_bytes(digest[..8].try_into().expect("the slice has 8 bytes"))
}
