//! Child processes that are killed when their handle is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::{OptionExt, WrapErr};
use rustix::process::{Pid, Signal, kill_process};

/// Child process; killed and reaped on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts a binary of the workspace and appends its output to `<folder>/<name>.log`.
    ///
    /// # Errors
    /// Fails when the binary is not built or cannot be started.
    pub fn start(folder: &Path, name: &str, binary: &str, args: &[&str]) -> eyre::Result<Self> {
        Self::start_with(folder, name, binary, args, false)
    }

    /// Starts a binary with its standard output in a pipe or, like standard error, in the log file.
    fn start_with(
        folder: &Path,
        name: &str,
        binary: &str,
        args: &[&str],
        piped: bool,
    ) -> eyre::Result<Self> {
        let path = binary_path(binary)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(if piped {
                Stdio::piped()
            } else {
                log.try_clone()?.into()
            })
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("failed to start {}", path.display()))?;
        Ok(Self {
            child,
            name: name.to_owned(),
        })
    }

    /// Starts a stand-in and waits until it prints its address; without `listen`, on a free port.
    ///
    /// # Errors
    /// Fails when the stand-in cannot be started or exits before it listens.
    pub fn start_standin(
        folder: &Path,
        name: &str,
        binary: &str,
        listen: Option<SocketAddr>,
    ) -> eyre::Result<(Self, SocketAddr)> {
        let address = listen
            .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
            .to_string();
        let mut process = Self::start_with(folder, name, binary, &["--listen", &address], true)?;
        let output = process
            .child
            .stdout
            .take()
            .ok_or_eyre("standard output is not piped")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line
            .trim()
            .strip_prefix("listening ")
            .ok_or_eyre("stand-in did not print its listening address; see its log file")?;
        Ok((process, address.parse()?))
    }

    /// Name of the process and, with the suffix `.log`, of its log file.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Operating system's process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal without waiting for its effect.
    ///
    /// # Errors
    /// Fails when the process no longer exists.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        Ok(kill_process(pid, signal)?)
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Exit code; `None` while the process runs or after a signal terminated it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .and_then(|status| status.code())
    }

    /// Largest resident memory of the process so far, in bytes.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn peak_memory(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        let kilobytes: u64 = peak.ok_or_eyre("the process has ended")?.trim().parse()?;
        Ok(kilobytes << 10)
    }

    /// Number of open descriptors of the process.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn open_files(&self) -> eyre::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id()))?.count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary in the target folder that holds the running executable.
fn binary_path(binary: &str) -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    for folder in executable.ancestors().skip(1).take(2) {
        let path = folder.join(binary);
        if path.is_file() {
            return Ok(path);
        }
    }
    Err(eyre::eyre!(
        "binary {binary} is not built; run ./scripts/test, which builds all binaries"
    ))
}

/// Free loopback address for a process that is about to start.
///
/// Each address has its own loopback IP. On a shared one, another test could take the port before
/// the process binds it; two gateways could even share it, because they bind with port reuse.
///
/// # Errors
/// Fails when the loopback IP has no free port.
pub fn free_address() -> eyre::Result<SocketAddr> {
    Ok(free_listener()?.local_addr()?)
}

/// Listener at such an address, for a server within the test. An address that is released first may not be free
/// at once: a process that another test is starting holds a copy of the socket until it runs its program.
///
/// # Errors
/// Fails when the loopback IP has no free port.
pub fn free_listener() -> eyre::Result<TcpListener> {
    static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed) % 250;
    let host = u8::try_from(index + 1).unwrap_or(u8::MAX);
    let ip = [127, 64 + high % 64, low, host];
    Ok(TcpListener::bind((IpAddr::from(ip), 0))?)
}
