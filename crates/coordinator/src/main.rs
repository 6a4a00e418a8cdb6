//! Entry point of the coordinator process.

use berylknot_coordinator::{args::Args, options::Options, run};
use eyre::OptionExt;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> eyre::Result<()> {
    let args = Args::from_env_or_exit();
    if args.version {
        println!("berylknot-coordinator {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = args.settings.ok_or_eyre("--settings FILE is required")?;
    let options = Options::read(&settings)?;
    if args.check {
        println!("{}: no findings", settings.display());
        return Ok(());
    }
    run::run(options)
}
