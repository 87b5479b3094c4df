//! A link that can be cut: what is sent meanwhile is held up, and arrives after the cut if
//! its sender has not reset the connection. Its open connections can also fall silent for
//! good, while new ones work.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use crate::record::Record;

/// What happens to a part that a client sends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Pass,
    /// The link is cut from this part on.
    Cut,
    /// It doesn't arrive on this connection, which stays open and silent.
    Lost,
}

/// Called with each part that a client sends.
pub type Trigger = Arc<dyn Fn(&[u8]) -> Fate + Send + Sync>;

/// A cut that several links share.
#[derive(Clone, Default)]
pub struct Cut {
    shared: Arc<(Mutex<bool>, Condvar)>,
    /// How often the open connections have fallen silent.
    silences: Arc<AtomicU64>,
    /// Whether connections are broken and refused.
    refuses: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Cut {
    /// Lets all open connections fall silent for good, without a reset.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Breaks all connections and refuses new ones, or takes new ones again.
    pub fn refuse(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn refuses(&self) -> bool {
        self.refuses.load(Ordering::SeqCst)
    }

    fn keep(&self, stream: &TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.open.lock().unwrap().push(stream);
        }
    }

    fn silences(&self) -> u64 {
        self.silences.load(Ordering::SeqCst)
    }

    pub fn set(&self, is_cut: bool) {
        *self.shared.0.lock().unwrap() = is_cut;
        self.shared.1.notify_all();
    }

    fn wait(&self) {
        let mut is_cut = self.shared.0.lock().unwrap();
        while *is_cut {
            is_cut = self.shared.1.wait(is_cut).unwrap();
        }
    }

    fn is_set(&self) -> bool {
        *self.shared.0.lock().unwrap()
    }
}

/// Forwards connections from a listener to an address.
pub fn open(
    listener: TcpListener,
    to: SocketAddr,
    cut: Cut,
    trigger: Option<Trigger>,
    name: &str,
    record: &Record,
) {
    let (name, record) = (name.to_owned(), record.clone());
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (cut, trigger) = (cut.clone(), trigger.clone());
            let (name, record) = (name.clone(), record.clone());
            std::thread::spawn(move || {
                // The opening of a connection doesn't pass a cut.
                cut.wait();
                if cut.refuses() {
                    return;
                }
                cut.keep(&client);
                let opened = cut.silences();
                let Ok(server) = TcpStream::connect(to) else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone())
                else {
                    return;
                };
                let (back, back_cut) = (name.clone(), cut.clone());
                let back_record = record.clone();
                std::thread::spawn(move || {
                    forward((server, client), &back_cut, opened, None, &back, &back_record);
                });
                forward((from_client, to_server), &cut, opened, trigger, &name, &record);
            });
        }
    });
}

/// Forwards one direction of a connection that was opened after `opened` silences.
fn forward(
    (mut from, mut to): (TcpStream, TcpStream),
    cut: &Cut,
    opened: u64,
    trigger: Option<Trigger>,
    name: &str,
    record: &Record,
) {
    let mut part = vec![0; 16384];
    loop {
        let count = match from.read(&mut part) {
            // Nothing of a silent connection arrives, not even its end.
            Ok(count) if cut.silences() > opened => match count {
                0 => return,
                _ => continue,
            },
            Ok(0) => {
                cut.wait();
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        };
        match trigger.as_ref().map_or(Fate::Pass, |trigger| trigger(&part[..count])) {
            Fate::Pass => {}
            Fate::Cut => cut.set(true),
            Fate::Lost => continue,
        }
        if cut.is_set() {
            cut.wait();
            // A reset by the sender discards what was held up.
            if is_reset(&from) {
                record
                    .line(format!("{name}: the sender has reset a connection, its bytes are lost"));
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
        if to.write_all(&part[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let seen = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
