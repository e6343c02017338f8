//! A list in force is replaced only by a higher revision, and never by a faulty one.

use heathertrack::lists::{ListVersions, Revision, Versioned};

fn main() {
    let mut versions = ListVersions::default();
    let arrivals = [(5, "first"), (7, "second"), (6, "stale"), (7, "duplicate")];
    for (revision, value) in arrivals {
        let taken = versions.offer(Versioned { revision: Revision(revision), value });
        println!("revision {revision} ({value}): {}", if taken { "in force" } else { "ignored" });
    }
    versions.reject(Revision(9));
    println!("revision 9 is faulty; in force: {:?}", versions.in_force());

    assert_eq!(versions.revision(), Revision(7));
    assert_eq!(versions.faulty(), Some(Revision(9)));
}
