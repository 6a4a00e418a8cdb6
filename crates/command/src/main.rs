//! Operator's command `berylknot`.

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    berylknot_command::run(std::env::args_os().skip(1).collect())
}
