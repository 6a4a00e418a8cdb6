//! Command-line arguments; their comments are the printed help.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, publishes and inspects the configuration of a berylknot fleet.
    cmd berylknot {
        /// Settings of this command, JSON with comments (default: berylknot.jsonc, if it exists).
        optional --settings file: PathBuf
        /// Address of the platform, such as http://10.0.0.1:8000.
        optional --platform address: String
        /// Address of a coordinator, such as 10.0.0.1:8100; may be repeated.
        repeated --coordinator address: String
        /// File with the secret pepper of the deployment's key hashes.
        optional --pepper file: PathBuf
        /// Print JSON instead of text, for scripts.
        optional --json

        /// Check a folder of settings files and report all findings with file, line and column.
        cmd check {
            required folder: PathBuf
        }
        /// Print the merged settings of a folder or, without a folder, those in force.
        cmd show {
            optional folder: PathBuf
        }
        /// Show what a publish of the folder would change, and the version to give as --base.
        cmd diff {
            required folder: PathBuf
        }
        /// Publish a folder and wait until every host has it in force.
        cmd publish {
            required folder: PathBuf
            /// Version that the folder is based on, as shown by diff; or `current` to replace
            /// whatever is in force. Needed unless nothing is in force yet.
            optional --base version: String
            /// Seconds to wait for the hosts (default: 14).
            optional --wait seconds: u64
        }
        /// Show each host's version in force, the age of its view of the log, and its readiness.
        cmd status {}
        /// Make and withdraw keys of customers.
        cmd key {
            /// Make a key: prints it once, with the settings that hold its hash.
            cmd make {
                required customer: String
                /// Public id of the key (default: made from the customer's name).
                optional --id id: String
            }
            /// Withdraw a key: writes the change into a folder, or prints it.
            cmd withdraw {
                required id: String
                /// Folder to write the change into.
                optional --folder folder: PathBuf
            }
        }
        /// Drain an endpoint: publish that it accepts no new requests.
        cmd drain {
            required endpoint: String
            /// Undo the drain, so that the endpoint accepts new requests again.
            optional --undo
            /// Folder to write the change into as well, so that the next publish keeps it.
            optional --folder folder: PathBuf
            /// Seconds to wait for the hosts (default: 14).
            optional --wait seconds: u64
        }
        /// Explain where a request would go now and why, without sending it. For hosts that run
        /// berylknot-entry.
        cmd explain {
            /// Metrics address of the entry host to ask, such as 10.0.1.1:7501.
            required address: String
            /// URL of the request as its caller has it, such as http://shop.example/orders/7.
            required url: String
            /// Header of the request, as NAME:VALUE; may be repeated.
            repeated --header header: String
            /// Customer in whose name to ask, instead of an API key among the headers.
            optional --customer name: String
        }
        /// Print the JSON schema of the settings, for editors.
        cmd schema {}
    }
}

/// Text printed after the generated help.
pub(crate) const EXAMPLES: &str = "\
EXAMPLES:
    Check a folder; every finding is printed as FILE:LINE:COLUMN: PATH: MESSAGE (HINT):
        berylknot check fleet/

    First publish, then a change. diff prints the version in force, and publish refuses
    with exit code 3 when another operator has published since:
        berylknot publish fleet/
        berylknot diff fleet/
        berylknot publish fleet/ --base 4608

    Make a key, and withdraw one in the folder and then everywhere:
        berylknot key make acme --pepper pepper.txt
        berylknot key withdraw acme-3f9a01c2 --folder fleet/
        berylknot publish fleet/ --base 4864

    Take an endpoint out of service at once, without a folder:
        berylknot drain reader-decode-3

    Which hosts have the configuration in force, for a script:
        berylknot status --json

    Where a request would go now, and why:
        berylknot explain 10.0.1.1:7501 http://shop.example/orders/7 --customer acme \\
            --header 'Content-Type: application/json'

SETTINGS FILE (berylknot.jsonc):
    {
      \"platform\": \"http://10.0.0.1:8000\",
      \"coordinators\": [\"10.0.1.1:8100\", \"10.0.1.2:8100\"],
      \"pepper_file\": \"pepper.txt\"
    }

EXIT CODES:
    0  done
    1  the settings have findings, or a name does not exist; explain: the request would be refused
    2  wrong usage, or faults in the command's own settings
    3  conflict: another operator has published; nothing was changed
    4  platform or host unreachable, or the outcome is unknown (repeat the same command: it is safe)
    5  published, but not confirmed by every host; or hosts differ
    6  other failure, such as a file that cannot be written
";
