//! The signals of the process: which of them stop it, reload its settings or are ignored. The default of
//! each would end it together with its callers' calls.

use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::task::Poll;

use log::info;
use nix::libc;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// The planned stop.
    Stop,
    /// To read the settings again.
    Reload,
    /// Nothing that the process knows of.
    Ignore,
}

/// The signals that are handled. SIGPIPE is ignored by the language's runtime.
const ACTIONS: [(libc::c_int, &str, Action); 12] = [
    (libc::SIGTERM, "SIGTERM", Action::Stop),
    (libc::SIGINT, "SIGINT", Action::Stop),
    (libc::SIGQUIT, "SIGQUIT", Action::Stop),
    (libc::SIGHUP, "SIGHUP", Action::Reload),
    (libc::SIGUSR1, "SIGUSR1", Action::Ignore),
    (libc::SIGUSR2, "SIGUSR2", Action::Ignore),
    (libc::SIGALRM, "SIGALRM", Action::Ignore),
    (libc::SIGVTALRM, "SIGVTALRM", Action::Ignore),
    (libc::SIGPROF, "SIGPROF", Action::Ignore),
    (libc::SIGIO, "SIGIO", Action::Ignore),
    (libc::SIGPWR, "SIGPWR", Action::Ignore),
    // Writes beyond the limit on file sizes fail instead.
    (libc::SIGXFSZ, "SIGXFSZ", Action::Ignore),
];

/// A signal and its handler.
#[derive(Debug)]
struct Handler {
    name: &'static str,
    action: Action,
    received: Signal,
}

/// The installed signal handlers. Signals are kept until they are asked for; several of one kind are one.
#[derive(Debug)]
pub struct Handlers(Vec<Handler>);

impl Handlers {
    /// Installs the handlers; called within the context of the runtime that receives the signals.
    pub fn install() -> io::Result<Handlers> {
        let install = |(number, name, action)| {
            Ok(Handler { name, action, received: signal(SignalKind::from_raw(number))? })
        };
        ACTIONS.into_iter().map(install).collect::<io::Result<_>>().map(Handlers)
    }

    /// Waits for a signal to stop. Others are kept.
    pub async fn stop_requested(&mut self) {
        self.next_of(|action| action == Action::Stop).await;
    }

    /// Ignores signals to reload, for a process that has nothing to reload.
    pub fn without_reload(mut self) -> Self {
        for handler in &mut self.0 {
            if handler.action == Action::Reload {
                handler.action = Action::Ignore;
            }
        }
        self
    }

    /// Starts the task that logs signals and passes them on; called within the context of the runtime.
    pub fn dispatch(self) -> Signals {
        let signals = Signals::default();
        tokio::spawn(self.run(signals.clone()));
        signals
    }

    async fn run(mut self, signals: Signals) {
        loop {
            let (name, action) = self.next_of(|_| true).await;
            match action {
                Action::Stop => {
                    info!(event = "signal", signal = name; "signal to stop received");
                    signals.stop.cancel();
                }
                Action::Reload => {
                    info!(event = "signal", signal = name; "signal to reload received");
                    signals.reload.notify_one();
                }
                Action::Ignore => info!(event = "signal_ignored", signal = name; "signal ignored"),
            }
        }
    }

    async fn next_of(&mut self, is_wanted: impl Fn(Action) -> bool) -> (&'static str, Action) {
        poll_fn(|cx| {
            for handler in self.0.iter_mut().filter(|handler| is_wanted(handler.action)) {
                if handler.received.poll_recv(cx).is_ready() {
                    return Poll::Ready((handler.name, handler.action));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// What signals have asked for so far; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: CancellationToken,
    reload: Arc<Notify>,
}

impl Signals {
    /// Waits until a stop is requested; returns at once if that was before.
    pub async fn stop_requested(&self) {
        self.stop.cancelled().await;
    }

    /// Whether a stop is requested.
    pub fn is_stop_requested(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Waits for a reload to be requested since the previous call.
    pub async fn reload_requested(&self) {
        self.reload.notified().await;
    }

    /// Runs `future`; returns `None` if a stop is requested before it has ended.
    pub async fn unless_stopped<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            () = self.stop_requested() => None,
            output = future => Some(output),
        }
    }
}
