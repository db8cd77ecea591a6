//! Plays the scripted cases of the review: `harness CASE REPOSITORY FOLDER`.

mod case1;
mod case2;
mod case3;
mod case4;
mod kit;

use std::{path::Path, process::exit};

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, root, folder] = &args[..] else {
        eprintln!("usage: harness CASE REPOSITORY FOLDER");
        exit(2);
    };
    let (root, folder) = (Path::new(root), Path::new(folder));
    let played = match case.as_str() {
        "1" => case1::play(root, folder),
        "2" => case2::play(root, folder),
        "3" => case3::play(root, folder),
        "4" => case4::play(root, folder, case4::Rule::Recover),
        "5" => case4::play(root, folder, case4::Rule::Budget),
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    match played {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            exit(1);
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            exit(2);
        }
    }
}
