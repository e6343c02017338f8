use super::Key;
use crate::name::Customer;
use std::collections::{BTreeMap, HashMap};

/// Memory that the records of each customer use.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    by_customer: HashMap<Customer, Holding>,
    answer_bytes: usize,
    next_answer: AnswerOrder,
}

/// Sequence number of a stored answer; the oldest is dropped first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnswerOrder(u64);

#[derive(Debug, Default)]
struct Holding {
    records: usize,
    answer_bytes: usize,
    answers: BTreeMap<AnswerOrder, Kept>,
}

/// A stored answer.
#[derive(Debug)]
struct Kept {
    key: Key,
    bytes: usize,
}

impl Holdings {
    /// Returns the number of records of a customer.
    pub fn records(&self, customer: &Customer) -> usize {
        self.by_customer.get(customer).map_or(0, |holding| holding.records)
    }

    /// Returns the size of all stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Adds a record to the customer's count.
    pub fn add_record(&mut self, customer: &Customer) {
        self.by_customer.entry(customer.clone()).or_default().records += 1;
    }

    /// Removes a record from the customer's count.
    pub fn remove_record(&mut self, customer: &Customer) {
        let Some(holding) = self.by_customer.get_mut(customer) else {
            return;
        };
        holding.records -= 1;
        if holding.records == 0 {
            self.by_customer.remove(customer);
        }
    }

    /// Adds an answer of `bytes` to the customer's usage.
    pub fn keep_answer(&mut self, key: &Key, bytes: usize) -> AnswerOrder {
        let order = self.next_answer;
        self.next_answer = AnswerOrder(order.0 + 1);
        let holding = self.by_customer.entry(key.customer.clone()).or_default();
        holding.answers.insert(order, Kept { key: key.clone(), bytes });
        holding.answer_bytes += bytes;
        self.answer_bytes += bytes;
        order
    }

    /// Removes an answer from the customer's usage.
    pub fn forget_answer(&mut self, customer: &Customer, order: AnswerOrder) {
        let Some(holding) = self.by_customer.get_mut(customer) else {
            return;
        };
        if let Some(kept) = holding.answers.remove(&order) {
            holding.answer_bytes -= kept.bytes;
            self.answer_bytes -= kept.bytes;
        }
    }

    /// Removes the oldest answer of the customer whose answers use the most memory, and returns its
    /// key.
    pub fn drop_answer(&mut self) -> Option<Key> {
        let largest = self.by_customer.values_mut().max_by_key(|holding| holding.answer_bytes)?;
        let (_, Kept { key, bytes }) = largest.answers.pop_first()?;
        largest.answer_bytes -= bytes;
        self.answer_bytes -= bytes;
        Some(key)
    }
}
