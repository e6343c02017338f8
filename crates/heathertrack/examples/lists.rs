//! A list in force is replaced only by a valid list of a higher revision.

use heathertrack::lists::{ListVersions, Revision, Versioned};

fn main() {
    let mut versions = ListVersions::default();
    let arrivals = [(5, "first"), (7, "second"), (6, "stale"), (7, "duplicate")];
    for (revision, value) in arrivals {
        let is_newer = versions.accept_if_newer(Versioned { revision: Revision(revision), value });
        println!(
            "revision {revision} ({value}): {}",
            if is_newer { "in force" } else { "ignored" }
        );
    }
    versions.reject(Revision(9));
    println!("revision 9 is faulty; in force: {:?}", versions.in_force());

    assert_eq!(versions.revision(), Revision(7));
    assert_eq!(versions.faulty(), Some(Revision(9)));
}
