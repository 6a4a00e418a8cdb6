//! Measures how memory, traffic and CPU time of the control plane grow with the fleet, and prints the
//! cost of a node at three sizes. The figures in docs/CAPACITY.md are this program's output.

mod cost;
mod fleet;
mod measure;

use fleet::{SIZES, Size};

#[global_allocator]
static ALLOCATOR: measure::Allocator = measure::Allocator;

fn main() {
    println!("| measure | unit | {} |", header());
    println!("|---|---|{}", "---:|".repeat(SIZES.len()));
    for row in cost::rows() {
        let values: Vec<String> = SIZES.iter().map(|size| (row.value)(size)).collect();
        println!("| {} | {} | {} |", row.name, row.unit, values.join(" | "));
    }
}

fn header() -> String {
    let name = |size: &Size| format!("{} hosts, {} customers", size.hosts, size.customers);
    SIZES.iter().map(name).collect::<Vec<_>>().join(" | ")
}
