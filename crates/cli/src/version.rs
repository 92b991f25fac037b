use argh::FromArgs;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    pub fn run(self) -> Result<(), String> {
        println!("query-router {}", env!("CARGO_PKG_VERSION"));
        Ok(())
    }
}
