//! Distribution of views by polls, and the record of which instance may serve from which version.
//!
//! An upstream ([`Publisher`]) answers the polls of instances ([`Subscriber`]) with the edits since
//! the poller's version and the age of its own view. Each answer is also a grant: the poller may
//! serve from the answered version until the lease ends. The publisher keeps the grants that have
//! not ended, so it knows when no instance can serve from an older version any more. The naive
//! version is [`crate::simple_dissemination`].

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;
use crate::rule_state::edit_bytes;
use crate::rules::RuleKey;
use crate::view::Edit;
use crate::view::Version;
use crate::view::View;
use crate::view::ViewError;
use crate::view_lease::LEASE_MARGIN;
use crate::view_lease::VIEW_LEASE;
use crate::view_lease::ViewLease;

/// Number of edits kept for deltas; a poller that is further behind gets the whole view.
pub const HISTORY_EDITS: usize = 4_096;

/// Bytes of edits kept for deltas; a few documents of the largest size seen, 400 KB.
pub const HISTORY_BYTES: usize = 4 << 20;

/// A question for changes of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The life of the instance that asks.
    pub poller: Incarnation,
    /// Version that the poller holds, unless it has none yet.
    pub version: Option<Version>,
    /// Version that the poller and everybody it relays to hold.
    pub settled: Version,
    /// Highest epoch that the poller has seen.
    pub epoch: u64,
}

/// Edits that lead from one version to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Oldest version that the edits apply to; `None` means that they are the whole view.
    pub from: Option<Version>,
    /// Version after the edits.
    pub to: Version,
    /// At most one edit for each rule, so they also apply to any version between the two.
    pub edits: Vec<Edit>,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Term of the leader that the view comes from.
    pub epoch: u64,
    /// How long ago the upstream's view was known to be fresh.
    pub age: Duration,
    /// Version that no instance lags behind, as far as the leader knew.
    pub settled: Version,
    /// What changed.
    pub delta: Delta,
}

/// A poll that gets no update.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollError {
    /// The poller holds a newer version or has seen a newer leader.
    #[display("the upstream is behind the poller")]
    Behind,
    /// The upstream's own lease would end before the poller could use it.
    #[display("the view of the upstream has expired")]
    Expired,
}

/// A version that an instance may serve from until a time on the publisher's clock.
#[derive(Clone, Copy, Debug)]
struct Grant {
    version: Version,
    end: Instant,
}

/// Upstream side of polls.
#[derive(Debug)]
pub struct Publisher {
    epoch: u64,
    view: Arc<View>,
    history: VecDeque<(Version, Edit)>,
    /// Bytes of the history.
    weight: usize,
    base: Version,
    grants: HashMap<Incarnation, Vec<Grant>>,
    earliest: Option<Instant>,
    settled: Version,
    upstream: Option<Version>,
}

impl Publisher {
    /// Creates the publisher of a leader elected at `now`.
    ///
    /// Earlier leaders may have granted leases that this one does not know of. All of them end
    /// before a whole lease after the election, so nothing is settled until then.
    pub fn leader(epoch: u64, view: Arc<View>, now: Instant) -> Self {
        Self {
            earliest: Some(now + VIEW_LEASE + LEASE_MARGIN),
            upstream: None,
            ..Self::relay(epoch, view)
        }
    }

    /// Creates the publisher of a relay.
    ///
    /// An earlier life of the relay is a poller of its own to the upstream, so nothing has to be
    /// waited for.
    pub fn relay(epoch: u64, view: Arc<View>) -> Self {
        Self {
            epoch,
            base: view.version(),
            view,
            history: VecDeque::new(),
            weight: 0,
            grants: HashMap::new(),
            earliest: None,
            settled: Version(0),
            upstream: Some(Version(0)),
        }
    }

    /// Returns the view that is published.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the epoch that is published.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Notes what the upstream of a relay states, which the relay passes on.
    pub fn set_upstream(&mut self, epoch: u64, settled: Version) {
        self.epoch = self.epoch.max(epoch);
        self.upstream = self.upstream.max(Some(settled));
    }

    /// Publishes a newer view, which `edits` lead to.
    pub fn publish(&mut self, view: Arc<View>, edits: impl IntoIterator<Item = Edit>) {
        if view.version() <= self.view.version() {
            return;
        }
        let version = view.version();
        self.history
            .extend(edits.into_iter().map(|edit| (version, edit)));
        self.view = view;
        self.weight = self.history.iter().map(|(_, e)| edit_bytes(e)).sum();
        while self.history.len() > HISTORY_EDITS || self.weight > HISTORY_BYTES {
            // Edits of one version are dropped together, so that no delta is partial.
            let Some(oldest) = self.history.front().map(|(version, _)| *version) else {
                break;
            };
            while let Some((_, edit)) = self.history.pop_front_if(|(v, _)| *v == oldest) {
                self.weight -= edit_bytes(&edit);
            }
            self.base = oldest;
        }
    }

    /// Publishes a newer view to which no edits are known, such as after a snapshot.
    pub fn replace(&mut self, view: Arc<View>) {
        if view.version() > self.view.version() {
            self.history.clear();
            self.base = view.version();
            self.view = view;
        }
    }

    /// Tells whether a poll would get edits now.
    pub fn has_news(&self, poll: &Poll) -> bool {
        poll.version != Some(self.view.version())
    }

    /// Notes what a poller holds, which ends its grants for older versions.
    pub fn observe(&mut self, poll: &Poll) {
        if let Some(grants) = self.grants.get_mut(&poll.poller) {
            grants.retain(|grant| grant.version >= poll.settled);
        }
    }

    /// Forgets grants that have ended; called now and then to bound the memory.
    pub fn purge(&mut self, now: Instant) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.end > now);
            !grants.is_empty()
        });
    }

    /// Answers a poll; `age` is the age of the published view.
    ///
    /// A grant also covers what a relay grants in turn, because ages add up: no lease below the
    /// relay outlives the relay's own, and every lease below that follows this answer is for this
    /// version or a later one.
    pub fn answer(
        &mut self,
        now: Instant,
        poll: &Poll,
        age: Duration,
    ) -> Result<Update, PollError> {
        let version = self.view.version();
        if poll.epoch > self.epoch || poll.version.is_some_and(|held| held > version) {
            return Err(PollError::Behind);
        }
        if age >= VIEW_LEASE {
            return Err(PollError::Expired);
        }
        let end = now + (VIEW_LEASE - age) + LEASE_MARGIN;
        let grants = self.grants.entry(poll.poller.clone()).or_default();
        match grants.iter_mut().find(|grant| grant.version == version) {
            Some(grant) => grant.end = grant.end.max(end),
            None => grants.push(Grant { version, end }),
        }
        Ok(Update {
            epoch: self.epoch,
            age,
            settled: self.announced(now),
            delta: self.delta(poll.version),
        })
    }

    /// Returns the version that every instance with a live lease has reached.
    pub fn settled(&mut self, now: Instant) -> Version {
        let version = self.view.version();
        let waited = self.earliest.is_none_or(|earliest| now >= earliest);
        if waited && self.settled < version {
            let lowest = self
                .grants
                .values()
                .flatten()
                .filter(|grant| grant.end > now)
                .map(|grant| grant.version)
                .min();
            self.settled = self.settled.max(lowest.unwrap_or(version).min(version));
        }
        self.settled
    }

    fn announced(&mut self, now: Instant) -> Version {
        match self.upstream {
            Some(version) => version,
            None => self.settled(now),
        }
    }

    /// Returns the lives that may still serve from a version below `version`.
    pub fn laggards(&self, now: Instant, version: Version) -> impl Iterator<Item = &Incarnation> {
        self.grants
            .iter()
            .filter(move |(_, grants)| {
                grants
                    .iter()
                    .any(|grant| grant.end > now && grant.version < version)
            })
            .map(|(poller, _)| poller)
    }

    /// Returns the lives that hold a lease.
    pub fn holders(&self, now: Instant) -> impl Iterator<Item = &Incarnation> {
        self.grants
            .iter()
            .filter(move |(_, grants)| grants.iter().any(|grant| grant.end > now))
            .map(|(poller, _)| poller)
    }

    fn delta(&self, held: Option<Version>) -> Delta {
        let to = self.view.version();
        let Some(from) = held.filter(|held| *held >= self.base) else {
            return Delta {
                from: None,
                to,
                edits: self.view.rules().cloned().map(Edit::Set).collect(),
            };
        };
        let start = self
            .history
            .partition_point(|(version, _)| *version <= from);
        let mut last: BTreeMap<&RuleKey, &Edit> = BTreeMap::new();
        for (_, edit) in self.history.range(start..) {
            last.insert(edit_key(edit), edit);
        }
        Delta {
            from: Some(from),
            to,
            edits: last.into_values().cloned().collect(),
        }
    }
}

fn edit_key(edit: &Edit) -> &RuleKey {
    match edit {
        Edit::Set(rule) => &rule.key,
        Edit::Remove(key) => key,
    }
}

/// Why an update was not taken in.
#[derive(Debug, Display, Error)]
pub enum InstallError {
    /// Edits are missing between the held version and the update.
    #[display("the update does not follow the version that is held")]
    Gap,
    /// The edits do not lead to a valid view.
    #[display("the update is invalid: {_0}")]
    Invalid(ViewError),
}

/// Poller side: the view that an instance holds, and the lease on it.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    view: Option<Arc<View>>,
    lease: ViewLease,
    epoch: u64,
    settled: Version,
}

impl Subscriber {
    /// Returns the view, whether or not its lease is valid.
    pub fn held(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Returns the view, unless its lease has expired.
    pub fn view(&self, now: Instant) -> Option<&Arc<View>> {
        self.view.as_ref().filter(|_| self.lease.is_valid(now))
    }

    /// Returns the lease.
    pub fn lease(&self) -> &ViewLease {
        &self.lease
    }

    /// Returns the highest epoch seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the version that is known to be in force everywhere.
    pub fn settled(&self) -> Version {
        self.settled
    }

    /// Returns the version held.
    pub fn version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.version())
    }

    /// Returns the poll to send.
    ///
    /// A relay passes what its own publisher has settled; an instance that relays to nobody passes
    /// `None`.
    pub fn poll(&self, poller: &Incarnation, below: Option<Version>) -> Poll {
        let version = self.version();
        let held = version.unwrap_or_default();
        Poll {
            poller: poller.clone(),
            version,
            settled: below.map_or(held, |below| below.min(held)),
            epoch: self.epoch,
        }
    }

    /// Takes in the answer to a poll that was sent at `sent`; returns the edits if the view changed.
    ///
    /// View and lease change together. An older version is never installed, but its proof of
    /// freshness counts, since the view held includes all that the older one does.
    pub fn install(
        &mut self,
        sent: Instant,
        update: Update,
    ) -> Result<Option<Delta>, InstallError> {
        let delta = update.delta;
        let mut installed = None;
        if self.version().is_none_or(|held| held < delta.to) {
            self.view = Some(self.apply(&delta)?);
            installed = Some(delta);
        }
        self.lease.renew(sent, update.age);
        self.epoch = self.epoch.max(update.epoch);
        self.settled = self.settled.max(update.settled);
        Ok(installed)
    }

    /// Takes in the view of the leader in the same process, whose freshness dates from `fresh`.
    pub fn install_own(&mut self, view: &Arc<View>, fresh: Instant, epoch: u64, settled: Version) {
        if self.version().is_none_or(|held| held < view.version()) {
            self.view = Some(view.clone());
        }
        self.lease.renew(fresh, Duration::ZERO);
        self.epoch = self.epoch.max(epoch);
        self.settled = self.settled.max(settled);
    }

    fn apply(&self, delta: &Delta) -> Result<Arc<View>, InstallError> {
        let empty = View::default();
        let base = match (delta.from, &self.view) {
            (None, _) => &empty,
            (Some(from), Some(view)) if from <= view.version() => view.as_ref(),
            (Some(_), _) => return Err(InstallError::Gap),
        };
        let mut transaction = base.transaction();
        for edit in &delta.edits {
            // A rule that was added and removed between the two versions is unknown here.
            if matches!(edit, Edit::Remove(key) if base.rule(key).is_none()) {
                continue;
            }
            transaction.edit(edit).map_err(InstallError::Invalid)?;
        }
        transaction
            .commit_with_version(delta.to)
            .map_err(InstallError::Invalid)
    }
}
