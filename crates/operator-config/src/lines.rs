//! Finds the lines on which sections and keys stand, which the INI parser does not tell.

/// What a line of the file contains.
pub(crate) enum Content<'a> {
    /// Opens the section of this name.
    Section(&'a str),
    /// Sets the key of this name in the section opened last.
    Key(&'a str),
}

/// A line that opens a section or sets a key.
pub(crate) struct Line<'a> {
    /// Counted from 1.
    pub number: usize,
    pub content: Content<'a>,
}

/// The lines of `text` that open a section or set a key, in order.
pub(crate) fn lines(text: &str) -> impl Iterator<Item = Line<'_>> {
    let numbered = text.lines().enumerate();
    numbered.filter_map(|(index, line)| Some(Line { number: index + 1, content: content(line.trim())? }))
}

fn content(line: &str) -> Option<Content<'_>> {
    if let Some(rest) = line.strip_prefix('[') {
        let name = rest.split(']').next()?;
        return Some(Content::Section(name.trim()));
    }
    if line.starts_with(['#', ';']) {
        return None;
    }
    let end = line.find(['=', ':'])?;
    Some(Content::Key(line[..end].trim()))
}
