//! Binary of the gateway.

use berylknot_gateway::{args::Args, options::Options, run};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> eyre::Result<()> {
    let args = Args::from_env_or_exit();
    if args.version {
        println!("berylknot-gateway {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let options = Options::read(&args.settings)?;
    if args.check {
        println!("{}: no findings", args.settings.display());
        return Ok(());
    }
    run::run(options)
}
