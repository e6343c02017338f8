//! A list in force is replaced only by a higher revision, and never by a faulty one.

use heathertrack::lists::{Book, Revision, Versioned};

fn main() {
    let mut book = Book::default();
    let arrivals = [(5, "first"), (7, "second"), (6, "stale"), (7, "duplicate")];
    for (revision, value) in arrivals {
        let taken = book.offer(Versioned { revision: Revision(revision), value });
        println!("revision {revision} ({value}): {}", if taken { "in force" } else { "ignored" });
    }
    book.reject(Revision(9));
    println!("revision 9 is faulty; in force: {:?}", book.in_force());

    assert_eq!(book.revision(), Revision(7));
    assert_eq!(book.faulty(), Some(Revision(9)));
}
