//! Runs the platform's stand-in.
//!
//! Usage: `platform --listen IP:PORT [--vm-lag-ms N]`. `--vm-lag-ms` is the lag of the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_testutils::http_server::serve;
use leadstage_testutils::platform_server::PlatformServer;
use lexopt::prelude::*;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut listen: SocketAddr = "127.0.0.1:0".parse()?;
    let mut lag = Duration::ZERO;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = args.value()?.parse()?,
            Long("vm-lag-ms") => lag = Duration::from_millis(args.value()?.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    serve(listen, 1, PlatformServer::new(lag))?;
    Ok(())
}
