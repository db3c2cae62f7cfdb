//! Prints the JSON schema of the environment document, which is committed in `examples/`.

fn main() {
    println!("{:#}", cumin_config::schema());
}
