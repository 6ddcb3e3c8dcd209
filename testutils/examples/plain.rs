//! Runs the plain service's stand-in.
//!
//! Usage: `plain --listen IP:PORT`.

use std::net::SocketAddr;

use leadstage_testutils::http_server::serve;
use leadstage_testutils::plain_server::PlainServer;
use lexopt::prelude::*;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut listen: SocketAddr = "127.0.0.1:0".parse()?;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = args.value()?.parse()?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    serve(listen, 1, PlainServer::default())?;
    Ok(())
}
