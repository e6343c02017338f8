use heathertrack::pool::{Options, order, placement};
use heathertrack_model::Plan;

/// A variant of the dispatcher's policies or of the simulation.
pub struct Variant {
    pub name: &'static str,
    /// Applies the variant to a plan.
    pub apply: fn(Plan) -> Plan,
}

/// Returns all variants, beginning with the unchanged plan.
pub fn all() -> Vec<Variant> {
    let variant = |name, apply| Variant { name, apply };
    vec![
        variant("as it is", |plan| plan),
        variant("central queue", Plan::central),
        variant("central, usual errors", |plan| {
            let error = plan.load.estimate_error;
            let mut plan = plan.central();
            plan.load.estimate_error = error;
            plan
        }),
        variant("exact estimates", |mut plan| {
            plan.load.estimate_error = 0.0;
            plan
        }),
        variant("order: wanted", |plan| order(plan, order::Policy::EarliestDue)),
        variant("order: arrival", |plan| order(plan, order::Policy::Fifo)),
        variant("placement: fastest", |plan| placement(plan, placement::Policy::Fastest)),
        variant("placement: best fit", |plan| placement(plan, placement::Policy::BestFit)),
        variant("neighbours ignored", |mut plan| {
            plan.options.keep_apart = false;
            plan
        }),
        variant("no slowdowns", |mut plan| {
            plan.load.slowdowns.clear();
            plan
        }),
        variant("wait share 0.12", |plan| wait(plan, 0.12)),
        variant("wait share 0.5", |plan| wait(plan, 0.5)),
        variant("wait share 3", |plan| wait(plan, 3.0)),
    ]
}

fn order(plan: Plan, order: order::Policy) -> Plan {
    Plan { options: Options { order, ..plan.options }, ..plan }
}

fn placement(plan: Plan, placement: placement::Policy) -> Plan {
    Plan { options: Options { placement, ..plan.options }, ..plan }
}

fn wait(plan: Plan, max_wait_share: f64) -> Plan {
    Plan { options: Options { max_wait_share, ..plan.options }, ..plan }
}
