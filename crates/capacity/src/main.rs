//! Measures how the state, messages and processor time of the control plane grow, and computes the
//! cost of a node at three sizes. The figures of docs/CAPACITY.md are this program's output.

mod cost;
mod fleet;
mod measure;

use fleet::{SIZES, Size};

#[global_allocator]
static ALLOCATOR: measure::Counting = measure::Counting;

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
