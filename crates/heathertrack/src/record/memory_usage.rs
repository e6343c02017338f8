use super::Key;
use crate::name::Customer;
use std::collections::{BTreeMap, HashMap};

/// Number of records and size of the stored answers, in total and for each customer.
#[derive(Debug, Default)]
pub(super) struct MemoryUsage {
    by_customer: HashMap<Customer, CustomerUsage>,
    answer_bytes: usize,
    next_sequence: AnswerSequence,
}

/// Number of a stored answer, in the order in which answers were stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnswerSequence(u64);

#[derive(Debug, Default)]
struct CustomerUsage {
    records: usize,
    answer_bytes: usize,
    answers: BTreeMap<AnswerSequence, StoredAnswer>,
}

/// Size of a stored answer, and the key of its record.
#[derive(Debug)]
struct StoredAnswer {
    key: Key,
    bytes: usize,
}

impl MemoryUsage {
    /// Returns the number of records of a customer.
    pub fn records(&self, customer: &Customer) -> usize {
        self.by_customer.get(customer).map_or(0, |usage| usage.records)
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
        let Some(usage) = self.by_customer.get_mut(customer) else {
            return;
        };
        usage.records -= 1;
        if usage.records == 0 {
            self.by_customer.remove(customer);
        }
    }

    /// Adds an answer of `bytes` bytes to the customer's usage.
    pub fn add_answer(&mut self, key: &Key, bytes: usize) -> AnswerSequence {
        let sequence = self.next_sequence;
        self.next_sequence = AnswerSequence(sequence.0 + 1);
        let usage = self.by_customer.entry(key.customer.clone()).or_default();
        usage.answers.insert(sequence, StoredAnswer { key: key.clone(), bytes });
        usage.answer_bytes += bytes;
        self.answer_bytes += bytes;
        sequence
    }

    /// Removes an answer from the customer's usage.
    pub fn remove_answer(&mut self, customer: &Customer, sequence: AnswerSequence) {
        let Some(usage) = self.by_customer.get_mut(customer) else {
            return;
        };
        if let Some(stored) = usage.answers.remove(&sequence) {
            usage.answer_bytes -= stored.bytes;
            self.answer_bytes -= stored.bytes;
        }
    }

    /// Removes the oldest answer of the customer whose answers use the most memory, and returns its
    /// key.
    pub fn evict_answer(&mut self) -> Option<Key> {
        let largest = self.by_customer.values_mut().max_by_key(|usage| usage.answer_bytes)?;
        let (_, StoredAnswer { key, bytes }) = largest.answers.pop_first()?;
        largest.answer_bytes -= bytes;
        self.answer_bytes -= bytes;
        Some(key)
    }
}
