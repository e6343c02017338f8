use super::Key;
use crate::name::Customer;
use std::collections::{BTreeMap, HashMap};

/// What each customer holds of the memory of the records.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    by_customer: HashMap<Customer, Holding>,
    answer_bytes: usize,
    next_answer: AnswerOrder,
}

/// Place of a kept answer in the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnswerOrder(u64);

#[derive(Debug, Default)]
struct Holding {
    records: usize,
    answer_bytes: usize,
    answers: BTreeMap<AnswerOrder, Kept>,
}

/// A kept answer.
#[derive(Debug)]
struct Kept {
    key: Key,
    bytes: usize,
}

impl Holdings {
    /// Records of a customer.
    pub fn records(&self, customer: &Customer) -> usize {
        self.by_customer.get(customer).map_or(0, |holding| holding.records)
    }

    /// Bytes of all answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Counts a record in.
    pub fn add_record(&mut self, customer: &Customer) {
        self.by_customer.entry(customer.clone()).or_default().records += 1;
    }

    /// Counts a record out.
    pub fn remove_record(&mut self, customer: &Customer) {
        let Some(holding) = self.by_customer.get_mut(customer) else {
            return;
        };
        holding.records -= 1;
        if holding.records == 0 {
            self.by_customer.remove(customer);
        }
    }

    /// Counts an answer in.
    pub fn keep_answer(&mut self, key: &Key, bytes: usize) -> AnswerOrder {
        let order = self.next_answer;
        self.next_answer = AnswerOrder(order.0 + 1);
        let holding = self.by_customer.entry(key.customer.clone()).or_default();
        holding.answers.insert(order, Kept { key: key.clone(), bytes });
        holding.answer_bytes += bytes;
        self.answer_bytes += bytes;
        order
    }

    /// Counts an answer out.
    pub fn forget_answer(&mut self, customer: &Customer, order: AnswerOrder) {
        let Some(holding) = self.by_customer.get_mut(customer) else {
            return;
        };
        if let Some(kept) = holding.answers.remove(&order) {
            holding.answer_bytes -= kept.bytes;
            self.answer_bytes -= kept.bytes;
        }
    }

    /// Counts out the oldest answer of the customer whose answers take most; gives its key.
    pub fn drop_answer(&mut self) -> Option<Key> {
        let largest = self.by_customer.values_mut().max_by_key(|holding| holding.answer_bytes)?;
        let (_, Kept { key, bytes }) = largest.answers.pop_first()?;
        largest.answer_bytes -= bytes;
        self.answer_bytes -= bytes;
        Some(key)
    }
}
