//! Prints the JSON schema of the environment document, as kept in `examples/`.

fn main() {
    println!("{:#}", cumin_config::schema());
}
