use heathertrack_model::Served;

/// Results of a variant at a load, summed over all seeds.
pub struct Row {
    pub variant: &'static str,
    pub load: f64,
    pub total: Served,
    pub classes: Vec<(&'static str, Served)>,
}

pub fn head() {
    println!(
        "{:<22}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
        "variant", "worth", "in time", "late", "refused", "failed", "returned", "in time"
    );
}

pub fn print(row: &Row) {
    let total = &row.total;
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    let of_asked = |count| share(count, total.asked);
    print!(
        "{:<22}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>9}{:>9.3}",
        row.variant,
        total.worth(),
        of_asked(total.in_time),
        of_asked(total.late),
        of_asked(total.refused),
        of_asked(total.failed),
        total.returned,
        share(total.returned_in_time, total.returned),
    );
    for (class, served) in &row.classes {
        print!("  {class} {:.3}", served.worth());
    }
    println!();
}
