//! A list in force moves only to higher revisions, and never to one with faults.

use heathertrack::lists::{Book, Revision, Versioned};

fn main() {
    let mut book = Book::default();
    let arrivals = [(5, "first"), (7, "second"), (6, "stale"), (7, "doubled")];
    for (revision, value) in arrivals {
        let taken = book.offer(Versioned { revision: Revision(revision), value });
        println!("revision {revision} ({value}): {}", if taken { "in force" } else { "left out" });
    }
    book.reject(Revision(9));
    println!("revision 9 has faults; in force: {:?}", book.in_force());

    assert_eq!(book.revision(), Revision(7));
    assert_eq!(book.faulty(), Some(Revision(9)));
}
