//! Lists the claims in the order of their keys' timestamps and deletes the expired ones.

use std::collections::VecDeque;

use compact_str::{CompactString, format_compact};
use rosemarybank_protocol::{platform::CLAIMS_PREFIX, prelude::*};
use serde::{Deserialize, Serialize};

use super::{Action, ClaimRef, DeleteResult, Event, MIN_AGE_MS, Settings};
use crate::key;

/// Number of timestamp bits of a key that follow its first 8 hexadecimal digits. Keys that share
/// these digits form a slot of 65.536 s, which one list call covers for one caller: at most 10,000
/// claims at 150 actions/s.
const SLOT_BITS: u32 = 16;

/// Deletes the expired claims of a fleet while this instance is the collector.
///
/// Two collectors at the same time are harmless: each deletion depends on the listed entity tag and
/// applies only to claims above the minimum age.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::claim_gc::{Action, Event, Machine, Settings};
/// use rosemarybank_protocol::prelude::Time;
///
/// let settings = Settings::builder().unix_ms_at_zero(1_704_067_200_000).build();
/// let (mut machine, mut out) = (Machine::new(settings), Vec::new());
/// let role = Event::RoleChanged { is_collector: true, callers: vec!["desk".into()] };
/// machine.handle(Time::ZERO, role, &mut out);
/// assert!(matches!(&out[..], [Action::List { prefix }] if prefix.starts_with("claims/desk/")));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    is_collector: bool,
    callers: Vec<CompactString>,
    /// Slot that is being listed, or `None` before the first role event.
    slot: Option<u64>,
    /// Index of the caller whose claims in the slot are listed next.
    #[serde(rename = "caller")]
    next_caller: usize,
    /// Prefix of the outstanding list call.
    listing: Option<CompactString>,
    /// Claims to delete.
    queue: VecDeque<ClaimRef>,
    /// Number of outstanding deletions.
    in_flight: usize,
    /// Earliest time of the next list call.
    next_list: Time,
    /// Earliest time of the next deletion.
    next_delete: Time,
}

impl Machine {
    /// Creates the machine of a starting instance. It is inactive until [`Event::RoleChanged`].
    #[must_use]
    pub fn new(settings: Settings) -> Machine {
        Machine {
            settings,
            is_collector: false,
            callers: Vec::new(),
            slot: None,
            next_caller: 0,
            listing: None,
            queue: VecDeque::new(),
            in_flight: 0,
            next_list: Time::ZERO,
            next_delete: Time::ZERO,
        }
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        if !self.is_collector || self.callers.is_empty() || self.listing.is_some() {
            return None;
        }
        if !self.queue.is_empty() {
            return (self.in_flight < self.settings.max_in_flight).then_some(self.next_delete);
        }
        let slot = self.slot?;
        let due_ms = ((slot + 1) << SLOT_BITS) + MIN_AGE_MS;
        let due = Time::from_millis(due_ms.saturating_sub(self.settings.unix_ms_at_zero));
        (self.in_flight == 0).then_some(due.max(self.next_list))
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::RoleChanged { is_collector, callers } => {
                self.on_role_changed(now, is_collector, callers)
            }
            Event::Listed { prefix, claims } => self.on_listed(now, &prefix, claims, out),
            Event::ListFailed { prefix } => {
                if self.listing.take_if(|it| *it == prefix).is_some() {
                    self.pause(now);
                }
            }
            Event::Deleted { claim, result } => {
                self.in_flight = self.in_flight.saturating_sub(1);
                if result == DeleteResult::Failed {
                    self.pause(now);
                    // If this instance is no longer the collector, its successor deletes the claim.
                    if self.is_collector {
                        self.queue.push_front(claim);
                    }
                }
            }
            Event::Tick => {}
        }
        if self.next_wakeup().is_some_and(|at| at <= now) {
            self.issue_next_call(now, out);
        }
    }

    fn on_role_changed(&mut self, now: Time, is_collector: bool, callers: Vec<CompactString>) {
        if callers != self.callers {
            // Restarts the slot from its first caller, which only costs additional reads.
            (self.callers, self.next_caller, self.listing) = (callers, 0, None);
        }
        if self.is_collector && !is_collector {
            // Claims that were listed but not deleted are in this slot or the previous one.
            self.queue.clear();
            (self.next_caller, self.listing) = (0, None);
            self.slot = self.slot.map(|it| it.saturating_sub(1));
        }
        self.is_collector = is_collector;
        let look_back = u64::try_from(self.settings.look_back.as_millis()).unwrap_or(u64::MAX);
        let first = self.unix_ms(now).saturating_sub(MIN_AGE_MS).saturating_sub(look_back);
        self.slot.get_or_insert(first >> SLOT_BITS);
    }

    fn on_listed(&mut self, now: Time, prefix: &str, claims: Vec<ClaimRef>, out: &mut Vec<Action>) {
        if self.listing.take_if(|it| it == prefix).is_none() || !self.is_collector {
            return;
        }
        for claim in claims {
            match created_ms(&claim.path) {
                Some(created) if created.saturating_add(MIN_AGE_MS) <= self.unix_ms(now) => {
                    self.queue.push_back(claim);
                }
                Some(_) => {}
                None => out.push(Action::Unreadable { path: claim.path }),
            }
        }
        self.next_caller += 1;
        if self.next_caller >= self.callers.len() {
            self.next_caller = 0;
            self.slot = self.slot.map(|it| it + 1);
        }
    }

    /// Issues the next deletion, or the next list call if no deletions are queued.
    fn issue_next_call(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(claim) = self.queue.pop_front() {
            self.in_flight += 1;
            self.next_delete = now + self.settings.delete_interval;
            out.push(Action::Delete(claim));
            return;
        }
        let (Some(slot), Some(caller)) = (self.slot, self.callers.get(self.next_caller)) else {
            return;
        };
        let prefix = format_compact!("{CLAIMS_PREFIX}{caller}/{slot:08x}");
        self.next_list = now + self.settings.list_interval;
        self.listing = Some(prefix.clone());
        out.push(Action::List { prefix });
    }

    /// Suspends store calls after a failure.
    fn pause(&mut self, now: Time) {
        let until = now + self.settings.pause;
        (self.next_list, self.next_delete) = (until, until);
    }

    fn unix_ms(&self, now: Time) -> u64 {
        let since = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.settings.unix_ms_at_zero.saturating_add(since)
    }
}

/// Returns the timestamp of the key in the path of a claim, or `None` if the path is not valid.
fn created_ms(path: &str) -> Option<u64> {
    let (_, key) = path.strip_prefix(CLAIMS_PREFIX)?.split_once('/')?;
    key::created_ms(key).ok()
}
