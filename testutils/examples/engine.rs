//! Runs the engine's stand-in.
//!
//! Usage: `engine --listen IP:PORT [--step-us N] [--blocks N] [--max-batch N] [--median N] [--p99 N]
//! [--lag-ms N] [--no-fences] [--seed N]`. `--median` and `--p99` are percentiles of the output length in
//! tokens, `--lag-ms` is the age of the load reports.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_testutils::engine_server::EngineServer;
use leadstage_testutils::engine_server::EngineServerConfig;
use leadstage_testutils::http_server::serve;
use leadstage_testutils::lengths::Lengths;
use lexopt::prelude::*;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut config = EngineServerConfig {
        engine: Default::default(),
        load_lag: Duration::from_millis(500),
        outputs: Lengths::Lognormal { median: 40.0, p99: 400.0 },
        checks_fences: true,
        seed: 1,
    };
    let (mut median, mut p99) = (40.0, 400.0);
    let mut listen: SocketAddr = "127.0.0.1:0".parse()?;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = args.value()?.parse()?,
            Long("step-us") => config.engine.step = Duration::from_micros(args.value()?.parse()?),
            Long("blocks") => config.engine.blocks = args.value()?.parse()?,
            Long("max-batch") => config.engine.max_batch = args.value()?.parse()?,
            Long("median") => median = args.value()?.parse()?,
            Long("p99") => p99 = args.value()?.parse()?,
            Long("lag-ms") => config.load_lag = Duration::from_millis(args.value()?.parse()?),
            Long("no-fences") => config.checks_fences = false,
            Long("seed") => config.seed = args.value()?.parse()?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    config.outputs = Lengths::Lognormal { median, p99 };
    serve(listen, 2, EngineServer::start(config))?;
    Ok(())
}
