//! Checks the models of the core protocol with `spin`: each must hold, and must fail when any one
//! of its guards is disabled.

use std::io;
use std::path::Path;
use std::process::Command;

use nutmegkeel_standin::guard;

/// A model and its guards that can be disabled.
struct Model {
    name: &'static str,
    source: &'static str,
    guards: &'static [&'static str],
}

const MODELS: [Model; 2] = [
    Model {
        name: "at_most_once",
        source: include_str!("../../../models/at_most_once.pml"),
        guards: &["NO_CLAIM", "NO_CLOCK", "NO_ARRIVAL", "NO_IDENTITY"],
    },
    Model {
        name: "change",
        source: include_str!("../../../models/change.pml"),
        guards: &["NO_IDENTITY"],
    },
];

/// Checks all models; returns true when each holds with its guards and fails without any one of
/// them.
///
/// # Errors
/// When `spin` or the C compiler is missing.
pub fn run() -> io::Result<bool> {
    let directory = std::env::temp_dir().join(format!("nutmegkeel-models-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let mut as_expected = true;
    for model in &MODELS {
        std::fs::write(directory.join("model.pml"), model.source)?;
        let holds = check(&directory, None)?;
        println!("{}: with all guards {}", model.name, result_text(holds));
        as_expected &= holds;
        for guard in model.guards {
            let holds = check(&directory, Some(guard))?;
            println!("{}: with {guard} {}", model.name, result_text(holds));
            as_expected &= !holds;
        }
    }
    std::fs::remove_dir_all(&directory)?;
    println!("models as expected: {as_expected}");
    Ok(as_expected)
}

const fn result_text(holds: bool) -> &'static str {
    if holds { "holds" } else { "fails" }
}

fn check(directory: &Path, without: Option<&str>) -> io::Result<bool> {
    let define = without.map(|guard| format!("-D{guard}"));
    let mut generate = Command::new("spin");
    generate.args(&define).args(["-a", "model.pml"]);
    run_command(generate, directory)?;
    let mut compile = Command::new("cc");
    compile.args(["-O1", "-DSAFETY", "-o", "pan", "pan.c"]);
    run_command(compile, directory)?;
    let output = run_command(Command::new(directory.join("pan")), directory)?;
    if !output.contains("State-vector") {
        return Err(io::Error::other(format!(
            "the state space of the model was not searched: {output}"
        )));
    }
    Ok(output.contains("errors: 0"))
}

fn run_command(mut command: Command, directory: &Path) -> io::Result<String> {
    let name = command.get_program().to_string_lossy().into_owned();
    let ended = guard::output(command.current_dir(directory)).map_err(|error| {
        io::Error::other(format!("{name}: {error}; install it with `apt-get install spin gcc`"))
    })?;
    let output = String::from_utf8_lossy(&ended.stdout).into_owned();
    if !ended.status.success() {
        return Err(io::Error::other(format!("{name}: {output}")));
    }
    Ok(output)
}
