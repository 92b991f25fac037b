//! Finds the line numbers of sections and keys, which the INI parser does not report.

/// Content of a line.
pub(crate) enum Content<'a> {
    /// The header of the section of this name.
    Section(&'a str),
    /// Sets the key of this name in the current section.
    Key(&'a str),
}

/// A line with a section header or a key.
pub(crate) struct Line<'a> {
    /// Line number, counted from 1.
    pub number: usize,
    pub content: Content<'a>,
}

/// Returns the lines of `text` that contain a section header or a key, in order.
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
