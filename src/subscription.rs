//! The subscription to the list: when the proxy asks discovery for changes. All proxies ask one service that
//! takes calls in turn, so each holds its calls to its part of what that service can bear; the rest of the
//! module only learns the list.

use crate::interface::{Config, Discovery, Micros, Time};

/// Discovery's time for one proxy's call, s: a guess on the safe side, told nowhere. All proxies together,
/// each calling once in so many of these as there are proxies, keep no queue.
const CALL: f64 = 0.08;
/// Proxies that may all ask at once: their calls are through before the first of them could time out.
const FEW: u32 = 4;
/// Part of the time after which a silent proxy counts as told by which its first call has gone out, or the
/// one after a failure: until then it is held to the list that it has.
const FIRST_BY: f64 = 0.8;
/// After a failed call a proxy is held to its list for this many times the time told.
const FAILED_HOLDS: f64 = 4.0;
/// A call that fails after this time, s, has stood in the queue: the service is up, with too much to do. What
/// fails sooner was refused at the door or found nobody, and costs the service nothing.
const QUEUED: f64 = 1.0;
/// Shortest wait after a refused call, s.
const SOON: f64 = 0.1;
/// Longest wait after a refused call: this part of the time told, or so many seconds for each proxy.
const REFUSED_MOST: (f64, f64) = (0.125, 0.03);
/// Waits after queued calls double up to this multiple of the round in which all proxies call once: even if
/// nobody gets through, the queue runs empty meanwhile.
const ROUNDS: f64 = 2.0;
/// An unanswered call is repeated after this part of the time told: it was lost.
const REPEAT: f64 = 0.5;

/// What has become of the last call.
#[derive(Clone, Copy, Default)]
enum Call {
    /// It has failed, or there was none.
    #[default]
    None,
    /// It went out then and may stand in the service's queue.
    Out(Time),
    /// It was answered, or has outlived every queue: it waits for news.
    Waits,
}

/// The state of subscription.
#[derive(Default)]
pub(crate) struct Subscription {
    /// When to ask next; `None` while changes come by themselves.
    pub due: Option<Time>,
    /// The last wait after a failure, s.
    wait: f64,
    call: Call,
}

impl Subscription {
    /// Asks as soon as it may, where it has to ask at all.
    pub fn new(cfg: &Config) -> Subscription {
        Subscription { due: (cfg.discovery != Discovery::Push).then_some(Time(0)), ..Subscription::default() }
    }

    /// It has an old list to serve from: many proxies that start together must not all ask together.
    pub fn have_old_list(&mut self, now: Time, cfg: &Config, unit: impl FnOnce() -> f64) {
        let Discovery::Subscribe(within) = cfg.discovery else { return };
        if self.due == Some(Time(0)) && cfg.proxies > FEW {
            self.due = Some(now + Micros::from_secs(spread(cfg, within) * unit()));
        }
    }

    /// A call or a subscription has failed: the next comes later each time and not in step with others.
    pub fn lost(&mut self, now: Time, cfg: &Config, unit: f64) {
        let Discovery::Subscribe(within) = cfg.discovery else { return };
        let told = within.secs();
        let queued = match std::mem::take(&mut self.call) {
            // A watch that breaks has stood in no queue, and all proxies may have lost theirs together.
            Call::Waits if cfg.proxies > FEW => {
                self.due = Some(now + Micros::from_secs(spread(cfg, within) * unit));
                return;
            }
            Call::Out(since) => (now - since).secs() >= QUEUED && cfg.proxies > FEW,
            Call::None | Call::Waits => false,
        };
        let refused_most = (told * REFUSED_MOST.0).max(f64::from(cfg.proxies) * REFUSED_MOST.1).max(SOON);
        // Chance adds half to a wait.
        let held = told * FAILED_HOLDS * FIRST_BY / 1.5;
        let (least, most) =
            if queued { (round(cfg), refused_most.max(round(cfg) * ROUNDS)) } else { (SOON, refused_most) };
        let most = most.min(held.max(SOON));
        self.wait = (self.wait * 2.0).clamp(least.min(most), most);
        self.due = Some(now + Micros::from_secs(self.wait * (0.5 + unit)));
    }

    /// A call has outlived its wait without a word. That says nothing of the service, and what the call
    /// missed counts as told moments after the wait: it is made anew at once. The waits differ, so that
    /// proxies whose watches fell silent together do not ask together.
    pub fn silent(&mut self, now: Time, cfg: &Config) {
        if cfg.discovery != Discovery::Push {
            (self.call, self.due) = (Call::None, Some(now));
        }
    }

    /// The list or its changes have come.
    pub fn answered(&mut self) {
        (self.due, self.wait, self.call) = (None, 0.0, Call::Waits);
    }

    /// Whether it is time to ask; that counts as asked.
    pub fn is_due(&mut self, now: Time, cfg: &Config) -> bool {
        let Discovery::Subscribe(within) = cfg.discovery else { return false };
        let due = self.due.is_some_and(|at| now >= at);
        if due {
            self.call = if matches!(self.call, Call::None) { Call::Out(now) } else { Call::Waits };
            self.due = Some(now + within.times(REPEAT));
        }
        due
    }
}

/// The time in which all proxies call once, s.
fn round(cfg: &Config) -> f64 {
    f64::from(cfg.proxies) * CALL
}

/// The time over which all proxies spread calls that one event calls for, s.
fn spread(cfg: &Config, within: Micros) -> f64 {
    round(cfg).min(within.secs() * FIRST_BY)
}
