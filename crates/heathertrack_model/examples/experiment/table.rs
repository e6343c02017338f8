use heathertrack_model::JobStats;

/// Results of a variant at a load, summed over all seeds. The load is relative to that of the
/// users' specification or of the pattern.
pub struct Row {
    pub variant: &'static str,
    pub load: f64,
    pub total: JobStats,
    pub classes: Vec<(&'static str, JobStats)>,
    /// Age of each correct answer, relative to the objective of its job.
    pub answer_ages: Vec<f64>,
}

pub fn print_header() {
    println!(
        "{:<22}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>7}",
        "variant", "worth", "in time", "late", "refused", "failed", "returned", "in time", "p99"
    );
}

/// Returns the age that 99% of the answers don't exceed, relative to the objective; 0 without answers.
fn percentile_99(ages: &[f64]) -> f64 {
    let mut ages = ages.to_vec();
    ages.sort_by(f64::total_cmp);
    ages.get(ages.len() * 99 / 100).copied().unwrap_or_default()
}

pub fn print_row(row: &Row) {
    let total = &row.total;
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    let of_jobs = |count| share(count, total.jobs);
    print!(
        "{:<22}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>9}{:>9.3}{:>7.2}",
        row.variant,
        total.earned_share(),
        of_jobs(total.in_time),
        of_jobs(total.late),
        of_jobs(total.refused),
        of_jobs(total.failed),
        total.returned,
        share(total.returned_in_time, total.returned),
        percentile_99(&row.answer_ages),
    );
    for (class, stats) in &row.classes {
        print!("  {class} {:.3}", stats.earned_share());
    }
    println!();
}
