/// Renders rows under a header in aligned columns, two spaces apart.
pub fn render_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let mut push_row = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells.zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        text.push_str(padded.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    };
    push_row(&mut header.iter().copied());
    rows.iter().for_each(|row| push_row(&mut row.iter().map(String::as_str)));
    text
}

/// Joins names with commas; an empty list is shown as `placeholder`.
pub fn join_names(names: &[Box<str>], placeholder: &str) -> String {
    if names.is_empty() { placeholder.to_owned() } else { names.join(",") }
}
