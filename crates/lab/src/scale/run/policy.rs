//! Policies that can be told apart by what relays do: each pins the one site to a cell of its own, and each cell has one
//! backend.

/// The backend of a cell.
pub fn backend(cell: usize) -> String {
    format!("s-{cell}")
}

/// The text of the policy that pins the site to a cell, out of so many.
pub fn pinned(cells: usize, cell: usize) -> String {
    let mut text = format!("# change {cell}\n[cells]\nmoves_per_second = 100\n");
    for n in 0..cells {
        text += &format!(
            "[[cells.cell]]\nname = \"c{n}\"\nservers = [\"{}\"]\n",
            backend(n)
        );
    }
    text + &format!("[[cells.site]]\nkey = \"1\"\ncell = \"c{cell}\"\n")
}
